#ifndef CHICORYVALE_TESTS_FAKES_ROUTING_TEXT_H_
#define CHICORYVALE_TESTS_FAKES_ROUTING_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace chicoryvale {

/// Returns a routing configuration in the platform's format with `route_count`
/// routes. All routes have the timeout 3000 ms, except the route
/// `changed_route`, if there is one, which has `changed_timeout_ms`.
inline std::string MakeRoutingText(std::uint64_t version,
                                   std::size_t route_count,
                                   std::size_t changed_route = SIZE_MAX,
                                   std::uint32_t changed_timeout_ms = 2000) {
  std::string text = "{\"version\":" + std::to_string(version);
  text += ",\"routes\":[";
  for (std::size_t i = 0; i < route_count; ++i) {
    const std::string number = std::to_string(i);
    const std::uint32_t timeout_ms =
        i == changed_route ? changed_timeout_ms : 3000;
    if (i > 0) text += ',';
    text.append(R"({"name":"route-)")
        .append(number)
        .append(R"(","host":"host)")
        .append(std::to_string(i % 7))
        .append(R"(.example","pathPrefix":"/path)")
        .append(number)
        .append(R"(/","routeType":"safe","timeoutMs":)")
        .append(std::to_string(timeout_ms))
        .append(R"(,"targetLatencyMs":200,"priority":1,"backend":"service)")
        .append(std::to_string(i % 20))
        .append(R"(","maxAttempts":2})");
  }
  text += "],\"backends\":[";
  for (int i = 0; i < 20; ++i) {
    if (i > 0) text += ',';
    text += "{\"name\":\"service" + std::to_string(i) +
            "\",\"healthPath\":\"/health\",\"maxConnections\":58,\"protocol\":"
            "\"h1\",\"tls\":false}";
  }
  return text + "]}";
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_ROUTING_TEXT_H_
