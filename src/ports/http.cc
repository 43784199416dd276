#include "ports/http.h"

#include <algorithm>
#include <cctype>

namespace chicoryvale {
namespace {

bool EqualsIgnoringCase(const std::string& left, const std::string& right) {
  return std::ranges::equal(left, right, [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

}  // namespace

std::string FindHeader(const std::vector<HttpHeader>& headers,
                       const std::string& name) {
  const auto found =
      std::ranges::find_if(headers, [&name](const HttpHeader& header) {
        return EqualsIgnoringCase(header.name, name);
      });
  return found == headers.end() ? std::string() : found->value;
}

}  // namespace chicoryvale
