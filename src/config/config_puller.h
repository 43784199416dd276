#ifndef CHICORYVALE_SRC_CONFIG_CONFIG_PULLER_H_
#define CHICORYVALE_SRC_CONFIG_CONFIG_PULLER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "config/cluster_config.h"
#include "ports/peer_transport.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Asks control VMs in turn for a newer configuration. Not thread safe.
class ConfigPuller {
 public:
  using Callback = std::function<void(const ClusterConfig&)>;

  /// Pointees must outlive the puller. `control` must not be empty.
  ConfigPuller(Scheduler* scheduler, PeerTransport* peers,
               std::vector<Address> control, Callback callback);
  ~ConfigPuller();
  ConfigPuller(const ConfigPuller&) = delete;
  ConfigPuller& operator=(const ConfigPuller&) = delete;

  /// Begins to ask.
  void Start() { Ask(); }

 private:
  void Ask();
  void OnAnswer(const Result<std::string>& answer);

  Scheduler* m_scheduler;
  PeerTransport* m_peers;
  std::vector<Address> m_control;
  Callback m_callback;
  std::size_t m_next = 0;
  std::uint64_t m_version = 0;
  TimerId m_timer = 0;
};

/// Answers ConfigPullers from a source of the newest committed configuration.
void ServeConfig(PeerTransport* peers,
                 std::function<const ClusterConfig&()> source);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CONFIG_PULLER_H_
