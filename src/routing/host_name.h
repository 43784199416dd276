#ifndef CHICORYVALE_SRC_ROUTING_HOST_NAME_H_
#define CHICORYVALE_SRC_ROUTING_HOST_NAME_H_

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>

namespace chicoryvale {

/// Returns `host` in lower case: letters of hosts are compared without case.
inline std::string LowerCaseHost(std::string_view host) {
  std::string lower(host);
  std::ranges::transform(lower, lower.begin(), [](unsigned char character) {
    return static_cast<char>(std::tolower(character));
  });
  return lower;
}

/// Returns `host` without its port, if it has one.
inline std::string_view HostWithoutPort(std::string_view host) {
  // A bracketed IPv6 address contains colons that do not precede a port.
  const std::size_t bracket = host.rfind(']');
  const std::size_t colon = host.rfind(':');
  const bool has_port = colon != std::string_view::npos &&
                        (bracket == std::string_view::npos || colon > bracket);
  return has_port ? host.substr(0, colon) : host;
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_HOST_NAME_H_
