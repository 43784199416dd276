#include "adapters/socket_address.h"

#include <charconv>
#include <cstdint>
#include <string>

namespace chicoryvale {
namespace {

tl::unexpected<Error> AddressError(const Address& address) {
  return MakeError(
      ErrorKind::kMalformedRequest,
      "\"" + address.host_port + "\" is not an IP address with a port");
}

bool ParsePort(const std::string& text, std::uint16_t* port) {
  const char* end = text.data() + text.size();
  const auto [parsed_end, code] = std::from_chars(text.data(), end, *port);
  return code == std::errc() && parsed_end == end && !text.empty();
}

}  // namespace

Result<GObjectPtr<GSocketAddress>> ToSocketAddress(const Address& address) {
  const std::string& text = address.host_port;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return AddressError(address);
  std::string host = text.substr(0, colon);
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  std::uint16_t port = 0;
  if (!ParsePort(text.substr(colon + 1), &port)) return AddressError(address);
  GSocketAddress* result =
      g_inet_socket_address_new_from_string(host.c_str(), port);
  if (result == nullptr) return AddressError(address);
  return GObjectPtr<GSocketAddress>(result);
}

Address FromSocketAddress(GSocketAddress* address) {
  if (address == nullptr || !G_IS_INET_SOCKET_ADDRESS(address)) return {};
  auto* inet_socket_address = G_INET_SOCKET_ADDRESS(address);
  GInetAddress* inet_address =
      g_inet_socket_address_get_address(inet_socket_address);
  char* host = g_inet_address_to_string(inet_address);
  const bool is_ipv6 =
      g_inet_address_get_family(inet_address) == G_SOCKET_FAMILY_IPV6;
  const std::string port =
      std::to_string(g_inet_socket_address_get_port(inet_socket_address));
  const std::string url_host = is_ipv6 ? "[" + std::string(host) + "]" : host;
  g_free(host);
  return {url_host + ":" + port};
}

}  // namespace chicoryvale
