#ifndef CHICORYVALE_SRC_ADAPTERS_TRANSFER_CODING_H_
#define CHICORYVALE_SRC_ADAPTERS_TRANSFER_CODING_H_

#include <algorithm>
#include <boost/beast/http/field.hpp>
#include <string_view>

#include "adapters/http_message_text.h"

namespace chicoryvale {

/// Returns whether `fields`, the headers of a request as Boost.Beast parsed
/// them, name a transfer coding other than "chunked" alone. The parser passes
/// over such a header, so it would take the body for a further request. Thread
/// safe.
template <class Fields>
bool HasUnsupportedTransferCoding(const Fields& fields) {
  const auto [first, last] =
      fields.equal_range(boost::beast::http::field::transfer_encoding);
  return std::any_of(first, last, [](const auto& field) {
    const auto value = field.value();
    return !HeaderNamesEqual({value.data(), value.size()}, "chunked");
  });
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_TRANSFER_CODING_H_
