#ifndef CHICORYVALE_SRC_BASE_SHARED_STRING_H_
#define CHICORYVALE_SRC_BASE_SHARED_STRING_H_

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace chicoryvale {

/// Immutable bytes whose copies share one buffer, so that each of a query's
/// sub-requests carries the same body without copying it. Copies may be used
/// on several threads.
class SharedString {
 public:
  SharedString() = default;
  // Converts implicitly, so that a std::string serves wherever one is taken.
  SharedString(std::string bytes)  // NOLINT(google-explicit-constructor)
      : m_bytes(std::make_shared<const std::string>(std::move(bytes))) {}
  SharedString(const char* text)  // NOLINT(google-explicit-constructor)
      : SharedString(std::string(text)) {}

  /// Returns the bytes; the reference lives as long as any copy does.
  [[nodiscard]] const std::string& Str() const {
    static const std::string kEmpty;
    return m_bytes ? *m_bytes : kEmpty;
  }
  // NOLINTNEXTLINE(google-explicit-constructor)
  operator const std::string&() const { return Str(); }

  // NOLINTBEGIN(readability-identifier-naming): names of std::string.
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
