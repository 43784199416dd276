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

/// Answer of an HTTP call.
struct HttpAnswer {
  /// 0: no answer.
  int status = 0;
  std::map<std::string, std::string> headers;
  nlohmann::json body;
};

/// One header line of a call.
struct CallHeader {
  std::string name;
  std::string value;
};

/// Calls `path` at `address` with a JSON body.
HttpAnswer PostJson(const std::string& address, const std::string& path,
                    const nlohmann::json& body,
                    const std::vector<CallHeader>& headers);

/// Returns the body of a GET, or an empty string.
std::string GetText(const std::string& address, const std::string& path);

/// Asks again and again until `condition` holds; the test program's time limit
/// ends a wait for something that never comes.
void WaitFor(const std::function<bool()>& condition);

/// Real processes of one deployment on loopback addresses of its own, which
/// keep their ports over restarts.
class Cluster {
 public:
  /// Nothing is started.
  Cluster();

  /// Starts control VM `index` of `group_size`, with its former data if any,
  /// which does not talk to `refused`.
  void StartControl(int index, int group_size,
                    const std::vector<std::string>& refused = {});

  /// Starts entry VM `index` in `zone`, which does not talk to `refused`.
  void StartEntry(int index, int group_size, const std::string& zone = "a",
                  const std::vector<std::string>& refused = {});

  /// Starts emulated upstreams of the services in `services` (TOML tables),
  /// from the example schema `example`.
  void StartUpstreams(const std::string& example, const std::string& services);

  /// Removes the data of control VM `index`, which must not run.
  void WipeControl(int index) const;

  Process& Control(int index) { return *m_processes.at(ControlName(index)); }
  Process& Entry(int index) { return *m_processes.at(EntryName(index)); }
  Process& Upstreams() { return *m_processes.at("upstreams"); }

  /// Runs chicoryctl against the control VMs that run; returns its exit code.
  int Ctl(std::vector<std::string> words, std::string* out = nullptr);

  /// Applies the schema of `example` and the placement of `service`; both must
  /// be accepted.
  void Deploy(const std::string& example,
              const std::vector<std::string>& services);

  /// Changes the replicas that `change` names, or all; returns how many.
  int ChangeUpstreams(const nlohmann::json& change);

  /// Returns what the emulated upstreams have counted.
  nlohmann::json UpstreamCounts();

  /// Returns the value of a counter at an entry, or -1.
  std::int64_t EntryMetric(int index, const std::string& name);

  [[nodiscard]] std::string PeerAddress(const std::string& name) const;
  [[nodiscard]] static std::string ControlName(int index) {
    return "control" + std::to_string(index);
  }
  [[nodiscard]] static std::string EntryName(int index) {
    return "entry" + std::to_string(index);
  }

 private:
  [[nodiscard]] std::string GroupList(int group_size) const;

  ScratchFolder m_folder;
  std::map<std::string, std::unique_ptr<Process>> m_processes;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_PROCESS_CLUSTER_H_
