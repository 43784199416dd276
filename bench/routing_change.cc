// Measures what a change of one or two routes costs as the configuration grows:
// bytes sent to each entry, and processor time of each step. Prints one table.
// Usage: routing_change

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>

#include "config/config_delta.h"
#include "fakes/routing_text.h"
#include "platform/routing_codec.h"
#include "routing/route_table.h"
#include "scale_report.h"

namespace chicoryvale {
namespace {

/// Returns the mean processor time of `step`, in milliseconds.
double MeasureMs(const std::function<void(int repeat)>& step) {
  constexpr int kRepeats = 20;
  constexpr double kMsPerSecond = 1000;
  const double start = ProcessorSeconds();
  for (int i = 0; i < kRepeats; ++i) step(i);
  return (ProcessorSeconds() - start) * kMsPerSecond / kRepeats;
}

ClusterConfig MakeConfig(std::uint64_t version, std::string text) {
  ClusterConfig config;
  config.version = version;
  config.routing = {version, std::move(text)};
  return config;
}

void MeasureChange(std::size_t routes) {
  const ClusterConfig from = MakeConfig(1, MakeRoutingText(1, routes));
  const ClusterConfig to =
      MakeConfig(2, MakeRoutingText(2, routes, routes - 1));
  const auto delta = MakeDelta(from, to);
  const double make_ms = MeasureMs([&](int) { (void)MakeDelta(from, to); });
  const double apply_ms = MeasureMs([&](int) {
    ClusterConfig config = from;
    if (!ApplyDelta(*delta, &config)) std::abort();
  });
  const double decode_ms = MeasureMs([&](int repeat) {
    const auto& text = repeat % 2 == 0 ? to.routing.text : from.routing.text;
    if (!platform::DecodeRoutingConfig(text)) std::abort();
  });
  platform::RoutingDecoder decoder;
  const double update_ms = MeasureMs([&](int repeat) {
    const auto& text = repeat % 2 == 0 ? to.routing.text : from.routing.text;
    if (!decoder.Decode(text)) std::abort();
  });
  const auto decoded = std::make_shared<const RoutingConfig>(
      *platform::DecodeRoutingConfig(to.routing.text));
  const double table_ms =
      MeasureMs([&](int) { const RouteTable table(decoded); });
  std::printf("%7zu %10zu %10zu %9.3f %9.3f %9.3f %9.3f %9.3f\n", routes,
              to.routing.text.size(), delta->bytes.size(), make_ms, apply_ms,
              decode_ms, update_ms, table_ms);
}

}  // namespace
}  // namespace chicoryvale

int main() {
  std::printf("%7s %10s %10s %9s %9s %9s %9s %9s\n", "routes", "bytes", "delta",
              "make ms", "apply ms", "decode ms", "update ms", "table ms");
  for (const std::size_t routes : {20, 100, 350, 1400, 5600}) {
    chicoryvale::MeasureChange(routes);
  }
  return 0;
}
