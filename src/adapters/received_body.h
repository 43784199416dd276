#ifndef CHICORYVALE_SRC_ADAPTERS_RECEIVED_BODY_H_
#define CHICORYVALE_SRC_ADAPTERS_RECEIVED_BODY_H_

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace chicoryvale {

/// Body of a message that Boost.Beast parses. Unlike its string_body, it
/// allocates memory for the bytes that arrive and not for the length that the
/// head announces. The parser checks the limit on the size.
struct ReceivedBody {
  // The names below are those that Boost.Beast requires of a body.
  // NOLINTBEGIN(readability-identifier-naming)
  using value_type = std::string;

  class reader {
   public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*header*/,
           value_type& body)
        : m_body(&body) {}

    void init(const boost::optional<std::uint64_t>& length,
              boost::system::error_code& code) {
      code = {};
      m_announced_bytes = length.value_or(0);
    }

    template <class ConstBufferSequence>
    std::size_t put(const ConstBufferSequence& buffers,
                    boost::system::error_code& code) {
      code = {};
      std::size_t bytes = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        Reserve(m_body->size() + buffer.size());
        m_body->append(static_cast<const char*>(buffer.data()), buffer.size());
        bytes += buffer.size();
      }
      return bytes;
    }

    void finish(boost::system::error_code& code) { code = {}; }

   private:
    // Doubles the memory for the body, but not beyond the announced length.
    void Reserve(std::size_t bytes) {
      if (bytes <= m_body->capacity()) return;
      std::uint64_t capacity = std::uint64_t{2} * m_body->capacity();
      if (m_announced_bytes > 0) {
        capacity = std::min(capacity, m_announced_bytes);
      }
      m_body->reserve(std::max<std::size_t>(bytes, capacity));
    }

    value_type* m_body;
    /// 0 if the head announces no length.
    std::uint64_t m_announced_bytes = 0;
  };
  // NOLINTEND(readability-identifier-naming)
};

/// Returns whether the head that `parser` has read announces a body of more
/// than `max_bytes`. An eager parser checks that itself only if no byte of the
/// body arrives with the head.
template <class Parser>
bool AnnouncesMoreThan(const Parser& parser, std::uint64_t max_bytes) {
  if (!parser.is_header_done()) return false;
  const auto length = parser.content_length();
  return length && *length > max_bytes;
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_RECEIVED_BODY_H_
