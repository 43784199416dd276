#ifndef CHICORYVALE_PROGRAMS_CHICORY_LOAD_LOAD_PLAN_H_
#define CHICORYVALE_PROGRAMS_CHICORY_LOAD_LOAD_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace chicoryvale {

class SettingsReader;

/// One stream of calls: Poisson arrivals of one RPC for one workspace.
struct CallStream {
  /// Path of the RPC, for example "/macchie.EyepieceDesk/Compare".
  std::string path;
  std::string workspace;
  /// JSON body of each request.
  std::string body;
  /// Mean arrivals per second, over all entries.
  double rate = 0;
  Duration deadline{};
  /// Whether each request carries a new request id. Requests that may run at
  /// most once require one.
  bool request_ids = false;
};

/// Describes the load that chicory-load generates.
struct LoadPlan {
  std::uint64_t seed = 1;
  Duration duration{};
  /// Maximum number of requests of all streams together. The run ends before
  /// `duration` if it is reached.
  std::uint64_t max_requests = 0;
  /// Maximum number of requests in flight. Arrivals beyond it are counted as
  /// not sent.
  std::uint32_t max_in_flight = 0;
  /// Maximum number of connections to each entry.
  std::uint32_t connections_per_entry = 0;
  std::vector<Address> entries;
  /// Metrics addresses of the entries.
  std::vector<Address> metrics;
  /// Control addresses of stand-ins.
  std::vector<Address> standins;
  std::vector<CallStream> streams;
};

/// Reads a plan and reports errors to `reader`.
LoadPlan ReadLoadPlan(SettingsReader& reader);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_LOAD_LOAD_PLAN_H_
