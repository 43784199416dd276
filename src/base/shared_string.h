#ifndef CHICORYVALE_SRC_BASE_SHARED_STRING_H_
#define CHICORYVALE_SRC_BASE_SHARED_STRING_H_

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace chicoryvale {

/// Immutable bytes whose copies share one buffer, so that all sub-requests of a
/// query carry the same body without copying it. Different copies may be used
/// on different threads.
class SharedString {
 public:
  SharedString() = default;
  // Implicit, so that a std::string can be passed as a SharedString.
  SharedString(std::string bytes)  // NOLINT(google-explicit-constructor)
      : m_bytes(std::make_shared<const std::string>(std::move(bytes))) {}
  SharedString(const char* text)  // NOLINT(google-explicit-constructor)
      : SharedString(std::string(text)) {}

  /// Returns the bytes. The reference is valid while any copy exists.
  [[nodiscard]] const std::string& Str() const {
    static const std::string kEmpty;
    return m_bytes ? *m_bytes : kEmpty;
  }
  // NOLINTNEXTLINE(google-explicit-constructor)
  operator const std::string&() const { return Str(); }

  // NOLINTBEGIN(readability-identifier-naming): as in std::string.
  [[nodiscard]] std::size_t size() const { return Str().size(); }
  [[nodiscard]] bool empty() const { return Str().empty(); }
  [[nodiscard]] const char* data() const { return Str().data(); }
  // NOLINTEND(readability-identifier-naming)

  friend bool operator==(const SharedString& a, std::string_view b) {
    return a.Str() == b;
  }
  friend std::ostream& operator<<(std::ostream& out, const SharedString& s) {
    return out << s.Str();
  }

 private:
  std::shared_ptr<const std::string> m_bytes;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_SHARED_STRING_H_
