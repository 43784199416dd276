#ifndef CHICORYVALE_PROGRAMS_CHICORY_STANDIN_EMULATED_REPLICA_H_
#define CHICORYVALE_PROGRAMS_CHICORY_STANDIN_EMULATED_REPLICA_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>

#include "chicory-standin/standin_settings.h"
#include "ports/http.h"
#include "ports/scheduler.h"
#include "schema/schema.h"

namespace chicoryvale {

/// One emulated replica: slots, a queue, service times, index versions.
/// Not thread safe.
class EmulatedReplica {
 public:
  struct Options {
    Scheduler* scheduler = nullptr;
    std::shared_ptr<const Schema> schema;
    ServiceBehaviour behaviour;
    ShardId shard = 0;
    std::uint64_t seed = 0;
  };

  explicit EmulatedReplica(Options options);

  /// Serves one sub-request.
  void Handle(const HttpRequest& request, HttpResponder respond);

  /// Returns the requests that took a slot since the start.
  [[nodiscard]] std::uint64_t Runs() const { return m_runs; }

 private:
  struct Waiting {
    HttpRequest request;
    HttpResponder respond;
  };
  void Run(Waiting work);
  void Finish(const Waiting& work);
  Duration DrawServiceTime();
  [[nodiscard]] HttpResponse Answer(const HttpRequest& request) const;
  [[nodiscard]] HttpResponse Refusal(int status) const;
  void AddReport(HttpResponse* response) const;

  Options m_options;
  std::mt19937_64 m_random;
  std::uint32_t m_busy = 0;
  std::deque<Waiting> m_queue;
  std::uint64_t m_runs = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_STANDIN_EMULATED_REPLICA_H_
