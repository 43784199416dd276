#ifndef CHICORYVALE_TESTS_SOAK_SOAK_RUN_H_
#define CHICORYVALE_TESTS_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "adapters/beast_http_client.h"
#include "adapters/fd_poller.h"
#include "adapters/glib_scheduler.h"
#include "process/process.h"
#include "soak/soak_platform.h"

namespace chicoryvale {

/// One soak: real control VMs and gateways as processes, callers and an
/// operator who go on while faults come in series and overlap. Each promise
/// that a caller, a replica or the operator can see broken is checked at once;
/// a broken one fails the test with the seed. Not thread safe.
class SoakRun {
 public:
  explicit SoakRun(std::uint64_t seed);
  ~SoakRun();
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;

  /// Starts all processes, lets faults come for `duration`, heals everything,
  /// and waits until callers are served and the newest configuration is in
  /// force everywhere.
  void Run(Duration duration);

  /// What was done, for the test's output.
  [[nodiscard]] std::string Summary() const;

 private:
  enum class Kind : std::uint8_t { kControl, kGateway };

  /// One process and what it is going through.
  struct Node {
    Kind kind = Kind::kGateway;
    int index = 0;
    std::unique_ptr<Process> process;
    /// Rises with each signal that may cost a caller its answer.
    std::uint64_t disturbed = 0;
    bool frozen = false;
    bool stopping = false;
    TimerId timer = 0;
    [[nodiscard]] bool IsUp() const {
      return process != nullptr && !frozen && !stopping;
    }
  };

  /// A caller's request in flight.
  struct Asked {
    std::string id;
    bool scattered = false;
    Node* gateway = nullptr;
    std::uint64_t disturbed = 0;
  };

  void StartNode(Node* node);
  void After(Node* node, Duration pause, std::function<void()> work);
  void Kill(Node* node, Duration down);
  void Freeze(Node* node, Duration time);
  void Terminate(Node* node);
  void WipeControl();
  void KillAllControls();
  void HarmProxy();
  void NextFault();
  void HealAll();
  Node* Pick(Kind kind);
  [[nodiscard]] bool ControlsWhole() const;

  void AskNext();
  void CheckAnswer(const Asked& asked, const HttpCallResult& result);
  void CheckScattered(const Asked& asked, const HttpClientAnswer& answer);
  void CheckOnce(const Asked& asked, const HttpCallResult& result);
  void PutNext();
  void Put(std::uint64_t version);
  void ReadConfig();
  void Probe(Node* gateway, int* served);
  void WaitUntilServed();
  void RunFor(Duration duration);
  void Broken(const std::string& what) const;
  [[nodiscard]] std::string PeerAddress(const Node& node) const;
  [[nodiscard]] std::string ControlList() const;
  Duration Draw(int from_ms, int to_ms);

  std::uint64_t m_seed;
  std::mt19937_64 m_random;
  ScratchFolder m_folder;
  FdPoller m_poller;
  GlibScheduler m_scheduler;
  SoakPlatform m_platform;
  BeastHttpClient m_client;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<TimerId> m_rounds;
  bool m_faults_on = false;
  /// A control VM whose disk was lost counts again only after this time.
  TimePoint m_wiped_until{};
  std::uint64_t m_last_request = 0;
  std::uint64_t m_sent_version = 0;
  std::uint64_t m_accepted_version = 0;
  std::map<std::string, int> m_counts;
  /// Ids that were told "not run".
  std::vector<std::string> m_refused_ids;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_SOAK_SOAK_RUN_H_
