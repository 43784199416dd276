// The settings of a deployment name a bound that is a fraction: the slack of the
// retry budget is 104.5. Nothing else happens. The gateways must start and serve.
//
// As on the platform, a process that ended is started again after a short
// delay.
#include "lab2.hpp"

namespace {

constexpr int kGateways = 3;
constexpr int kRestartDelayMs = 500;
constexpr int kRequests = 200;
constexpr int kRequestPauseMs = 50;
/// Between the start of the processes and the first request, as on the sheet.
constexpr int kTrafficAfterMs = 14000;

/// The rule's bounds: this often, on this many machines (a tenth of them, two
/// at least).
constexpr int kEndsOfAMachine = 3;
constexpr int kMachines = 2;

int Play(const std::string& root, lab::Record* record) {
  const std::vector<std::string> zones = {"lom-a", "lom-b", "lom-c"};
  lab::Bounds bounds;
  bounds.drain_ms = 4000;
  bounds.retry_slack = lab::HasTrouble() ? "104.5" : "104";
  lab::Deployment deployment(root, 3, kGateways, zones, bounds);
  for (int i = 0; i < 3; ++i) {
    const std::string id = "i-" + std::to_string(i);
    const auto handler = [record, id](const lab::Message& request) {
      const std::string request_id = request.Header("chicoryvale-request-id");
      const std::string echo = "Chicoryvale-Request-Id: " + request_id + "\r\n";
      if (request.Header("chicoryvale-expect-instance") != id) {
        return "HTTP/1.1 421 Misdirected Request\r\n" + echo +
               "Content-Length: 0\r\n\r\n";
      }
      record->Line("replica %s ran %s", id.c_str(), request_id.c_str());
      return "HTTP/1.1 200 OK\r\n" + echo + "Chicoryvale-Server-Stamp: " + id +
             "." + request_id + "\r\nContent-Length: 5\r\n\r\nfound";
    };
    if (!deployment.AddReplica(
            {id, "scan-viewer", deployment.Ip(200 + i), zones[i]}, handler)) {
      return lab::kCouldNotRun;
    }
  }
  record->Line("the settings say repeats.fixed = %s (bounds.retryBudgetSlack)",
               bounds.retry_slack.c_str());
  if (!deployment.Start()) return lab::kCouldNotRun;
  const double traffic_at = lab::Seconds() + kTrafficAfterMs / 1000.0;

  std::vector<int> ends(kGateways);
  std::atomic<bool> is_over{false};
  std::thread platform([&] {
    while (!is_over) {
      for (int i = 0; i < kGateways; ++i) {
        if (deployment.Gateway(i).Runs()) continue;
        ++ends[i];
        record->Line("gateway %d ended by itself, for the %d. time", i,
                     ends[i]);
        lab::SleepMs(kRestartDelayMs);
        deployment.Gateway(i).Start();
      }
      lab::SleepMs(20);
    }
  });
  const auto finish = [&](int result) {
    is_over = true;
    platform.join();
    return result;
  };

  const std::string config = lab::ConfigJson(
      1, lab::RouteJson("sketch-fetch", "/sketch/", "safe", "scan-viewer"),
      {"scan-viewer"});
  if (!deployment.Put(config)) return finish(lab::kCouldNotRun);
  record->Line("operator: the configuration is acknowledged");
  while (lab::Seconds() < traffic_at) lab::SleepMs(50);
  int served = 0;
  for (int n = 0; n < kRequests; ++n) {
    const auto answer =
        lab::Call(deployment.GatewayIp(n % kGateways), lab::kCallerPort, "GET",
                  "/sketch/" + std::to_string(n),
                  "Host: h.example\r\nChicoryvale-Request-Id: r" +
                      std::to_string(n) +
                      "\r\nChicoryvale-Deadline-Ms: 5000\r\n",
                  "", 5500);
    record->Line("consumer: r%d answered %d", n, answer ? answer->Status() : 0);
    if (answer && answer->Status() == 200) ++served;
    lab::SleepMs(kRequestPauseMs);
  }
  finish(lab::kHeld);
  int machines = 0;
  for (int i = 0; i < kGateways; ++i) {
    record->Line("gateway %d ended by itself %d times", i, ends[i]);
    if (ends[i] >= kEndsOfAMachine) ++machines;
  }
  record->Line("%d of %d requests were served", served, kRequests);
  return machines >= kMachines || served == 0 ? lab::kBroken : lab::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return lab::Main(argc, argv, Play); }
