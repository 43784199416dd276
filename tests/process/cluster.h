#ifndef CHICORYVALE_TESTS_PROCESS_CLUSTER_H_
#define CHICORYVALE_TESTS_PROCESS_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "process/process.h"

namespace chicoryvale {

/// Answer to an HTTP call.
struct HttpAnswer {
  /// 0 if there is no answer.
  int status = 0;
  std::map<std::string, std::string> headers;
  nlohmann::json body;
};

/// One header line of a call.
struct CallHeader {
  std::string name;
  std::string value;
};

/// Sends a POST with a JSON body to `path` at `address` and waits for the
/// answer.
HttpAnswer PostJson(const std::string& address, const std::string& path,
                    const nlohmann::json& body,
                    const std::vector<CallHeader>& headers);

/// Sends a GET to `path` at `address` and returns the body of the answer;
/// "null" if there is no answer.
std::string GetText(const std::string& address, const std::string& path);

/// Polls `condition` until it is true. Has no time limit of its own: the time
/// limit of the test program ends a wait for a condition that stays false.
void WaitFor(const std::function<bool()>& condition);

/// The processes of one deployment. Their peer addresses are loopback addresses
/// that no other test program uses and that stay the same over restarts.
class Cluster {
 public:
  /// Writes the keys; starts no process.
  Cluster();

  /// Adds `lines` to the settings of all control and entry VMs that are started
  /// from now on.
  void AddSettings(const std::string& lines) { m_added_settings += lines; }

  /// Starts or restarts control VM `index` of `group_size`, with its former
  /// data if there is any. It exchanges no messages with `refused_peers`.
  void StartControl(int index, int group_size,
                    const std::vector<std::string>& refused_peers = {});

  /// Starts or restarts entry VM `index` in the availability zone `zone`. It
  /// exchanges no messages with `refused_peers`.
  void StartEntry(int index, int group_size, const std::string& zone = "a",
                  const std::vector<std::string>& refused_peers = {});

  /// Starts emulated upstreams for `services`, which are TOML tables; their
  /// schema is that of the example `example`.
  void StartUpstreams(const std::string& example, const std::string& services);

  /// Removes the data of control VM `index`. The process must not be running.
  void WipeControl(int index) const;

  Process& Control(int index) { return *m_processes.at(ControlName(index)); }
  Process& Entry(int index) { return *m_processes.at(EntryName(index)); }
  Process& Upstreams() { return *m_processes.at("upstreams"); }

  /// Runs chicoryctl with the addresses of all control VMs that were started.
  /// Returns its exit code.
  int RunCtl(std::vector<std::string> command, std::string* output = nullptr);

  /// Applies the schema of the example `example` and the placements of
  /// `services`. Fails the test if one of them is not accepted.
  void Deploy(const std::string& example,
              const std::vector<std::string>& services);

  /// Applies `change` to the emulated replicas that it selects, or to all if it
  /// selects none. Returns the number of changed replicas.
  int ChangeUpstreams(const nlohmann::json& change);

  /// Returns the counters of the emulated upstreams.
  nlohmann::json UpstreamCounts();

  /// Returns the value of the metric `name` of entry VM `index`, or -1 if it
  /// has no such metric.
  std::int64_t EntryMetric(int index, const std::string& name);

  [[nodiscard]] std::string PeerAddress(const std::string& name) const;
  [[nodiscard]] static std::string ControlName(int index) {
    return "control" + std::to_string(index);
  }
  [[nodiscard]] static std::string EntryName(int index) {
    return "entry" + std::to_string(index);
  }

 private:
  /// Returns the peer addresses of the control group as a TOML array.
  [[nodiscard]] std::string GroupAddressArray(int group_size) const;

  ScratchFolder m_folder;
  std::string m_added_settings;
  std::map<std::string, std::unique_ptr<Process>> m_processes;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_PROCESS_CLUSTER_H_
