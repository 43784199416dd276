// Two routes on two hosts have the same name, which the pages allow: only the
// same host and prefix make two routes invalid. One route is split among six
// services, the other one among two, with equal weights. The operator sends
// such a configuration, it is acknowledged, and ordinary requests come for both
// routes.
//
// As on the platform, a process that ended is started again after a short
// delay.
#include "lab2.hpp"

namespace {

constexpr int kServices = 6;
constexpr int kShortSplit = 2;
constexpr int kGateways = 3;
constexpr int kRestartDelayMs = 500;
constexpr double kPlayedS = 45;

/// How far a part's share may lie off its weight's, over this many requests.
constexpr double kMaxShareOff = 0.2;
constexpr int kMinRequests = 200;

int Play(const std::string& root, lab::Record* record) {
  const std::vector<std::string> zones = {"rajkot-a", "jamnagar-b",
                                          "bhavnagar-c"};
  lab::Deployment deployment(root, 3, kGateways, zones);
  std::vector<std::string> services;
  std::mutex mutex;
  std::map<std::string, std::map<std::string, int>> runs_by_host;
  for (int i = 0; i < kServices; ++i) {
    services.push_back("desk-" + std::to_string(i));
    const std::string id = "i-" + std::to_string(i);
    const auto handler = [&, id](const lab::Message& request) {
      const std::string request_id = request.Header("chicoryvale-request-id");
      const std::string echo = "Chicoryvale-Request-Id: " + request_id + "\r\n";
      if (request.Header("chicoryvale-expect-instance") != id) {
        return "HTTP/1.1 421 Misdirected Request\r\n" + echo +
               "Content-Length: 0\r\n\r\n";
      }
      {
        const std::lock_guard<std::mutex> lock(mutex);
        ++runs_by_host[request.Header("host")][id];
      }
      record->Line("replica %s ran %s", id.c_str(), request_id.c_str());
      return "HTTP/1.1 200 OK\r\n" + echo + "Chicoryvale-Server-Stamp: " + id +
             "." + request_id + "\r\nContent-Length: 5\r\n\r\nfound";
    };
    if (!deployment.AddReplica(
            {id, services[i], deployment.Ip(200 + i), zones[i % 3]}, handler)) {
      return lab::kCouldNotRun;
    }
  }
  const auto split = [&](const std::string& name, const std::string& host,
                         int count) {
    std::string parts;
    for (int i = 0; i < count; ++i) {
      if (!parts.empty()) parts += ",";
      parts += R"({"backend":")" + services[i] + R"(","weight":10})";
    }
    return R"({"name":")" + name + R"(","host":")" + host +
           R"(","pathPrefix":"/fetch/","routeType":"safe","timeoutMs":5000,)"
           R"("targetLatencyMs":500,"priority":1,"trafficSplit":[)" +
           parts + R"(],"maxAttempts":2})";
  };
  const std::string second = lab::HasTrouble() ? "fetch" : "fetch-2";
  const std::string config = lab::ConfigJson(
      1,
      split("fetch", "a.example", kServices) + "," +
          split(second, "b.example", kShortSplit),
      services);
  if (!deployment.Start()) return lab::kCouldNotRun;
  if (!deployment.Put(config)) {
    record->Line("operator: the configuration is not acknowledged");
    return lab::kCouldNotRun;
  }
  record->Line("operator: the configuration is acknowledged: %s",
               config.c_str());
  if (!deployment.WaitReady()) return lab::kCouldNotRun;
  lab::SleepMs(2000);

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
  int served = 0;
  int sent = 0;
  const double end = lab::Seconds() + kPlayedS;
  while (lab::Seconds() < end) {
    const std::string host = sent % 2 == 0 ? "a.example" : "b.example";
    const auto answer = lab::Call(
        deployment.GatewayIp(sent / 2 % kGateways), lab::kCallerPort, "GET",
        "/fetch/x",
        "Host: " + host + "\r\nChicoryvale-Request-Id: r" +
            std::to_string(sent) + "\r\nChicoryvale-Deadline-Ms: 4000\r\n",
        "", 4500);
    record->Line("consumer: r%d for %s answered %d", sent, host.c_str(),
                 answer ? answer->Status() : 0);
    if (answer && answer->Status() == 200) ++served;
    ++sent;
    lab::SleepMs(25);
  }
  is_over = true;
  platform.join();
  int ended = 0;
  for (int i = 0; i < kGateways; ++i) {
    record->Line("gateway %d ended by itself %d times", i, ends[i]);
    ended += ends[i];
  }
  record->Line("%d of %d requests were served", served, sent);
  const std::lock_guard<std::mutex> lock(mutex);
  bool is_off = false;
  bool has_few = false;
  for (const auto& [host, count] :
       std::map<std::string, int>{{"a.example", kServices},
                                  {"b.example", kShortSplit}}) {
    int total = 0;
    for (const auto& [id, runs] : runs_by_host[host]) total += runs;
    if (total < kMinRequests) {
      has_few = true;
      continue;
    }
    for (int i = 0; i < count; ++i) {
      const int runs = runs_by_host[host]["i-" + std::to_string(i)];
      const double share = static_cast<double>(runs) / total;
      record->Line("%s: part %d of %d has the share %.3f of %d requests",
                   host.c_str(), i + 1, count, share, total);
      if (std::abs(share - 1.0 / count) > kMaxShareOff) is_off = true;
    }
  }
  if (ended > 0 || is_off) return lab::kBroken;
  return has_few ? lab::kCouldNotRun : lab::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return lab::Main(argc, argv, Play); }
