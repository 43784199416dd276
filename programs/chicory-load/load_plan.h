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
  /// Mean arrivals a second, over all entries.
  double rate = 0;
  Duration deadline{};
  /// Each request carries a new request id, as one that may run at most once
  /// has to.
  bool request_ids = false;
};

/// A load to generate.
struct LoadPlan {
  std::uint64_t seed = 1;
  Duration duration{};
  /// Requests of all streams together; the run ends before `duration` if they
  /// are used up.
  std::uint64_t max_requests = 0;
  /// Requests under way at once; arrivals beyond count as not sent.
  std::uint32_t max_in_flight = 0;
  /// Connections to one entry.
  std::uint32_t connections_per_entry = 0;
  std::vector<Address> entries;
  /// Metrics addresses of the entries.
  std::vector<Address> metrics;
  /// Control addresses of stand-ins.
  std::vector<Address> standins;
  std::vector<CallStream> streams;
};

/// Reads a plan; faults go to `reader`.
LoadPlan ReadLoadPlan(SettingsReader& reader);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_LOAD_LOAD_PLAN_H_
