// A frozen control machine: an operator evacuates a zone, ends the evacuation,
// and evacuates the zone again 3 s later. The order that ends it reaches a
// frozen machine first, which doesn't answer; the operator closes that
// connection after a second and sends the order to the next machine, which
// acknowledges it. The frozen machine wakes after the second evacuation was
// acknowledged. From then on, and after all bounds, no request may reach a
// replica in the zone.
#include "lab2.hpp"

namespace {

constexpr int kFreezeMs = 6000;
/// Time between the end of the first evacuation and the second one.
constexpr int kWithdrawnMs = 3000;
/// An operator moves on after a second without an answer.
constexpr int kOrderTimeoutMs = 1000;

// Bounds of the deployment, and the time after which all of them have passed
// since the machine woke: contactMs, until all machines are in touch;
// maxSkewMs, the most that an unstable core may add; evacuateMs.
constexpr int kContactMs = 5000;
constexpr int kMaxSkewMs = 15000;
constexpr int kEvacuateMs = 5000;
constexpr double kAllBoundsS = (kContactMs + kMaxSkewMs + kEvacuateMs) / 1000.0;
constexpr double kCheckedS = 10;

struct Run {
  std::string zone;
  double at;
};

int Play(const std::string& root, lab::Record* record) {
  const std::vector<std::string> zones = {
      "nl-west-maasvlakte", "nl-west-kijfhoek", "nl-west-rotterdam"};
  lab::Bounds bounds;
  bounds.drain_ms = 4000;
  lab::Deployment deployment(root, 3, 3, zones, bounds);
  std::mutex mutex;
  std::vector<Run> runs;
  for (int i = 0; i < 3; ++i) {
    const std::string id = "i-" + std::to_string(i);
    const auto handler = [&, i, id](const lab::Message& request) {
      const std::string request_id = request.Header("chicoryvale-request-id");
      const std::string echo = "Chicoryvale-Request-Id: " + request_id + "\r\n";
      if (request.Header("chicoryvale-expect-instance") != id) {
        return "HTTP/1.1 421 Misdirected Request\r\n" + echo +
               "Content-Length: 0\r\n\r\n";
      }
      {
        const std::lock_guard<std::mutex> lock(mutex);
        runs.push_back({zones[i], lab::Seconds()});
      }
      record->Line("replica in %s ran %s", zones[i].c_str(),
                   request_id.c_str());
      return "HTTP/1.1 200 OK\r\n" + echo + "Chicoryvale-Server-Stamp: " + id +
             "." + request_id + "\r\nContent-Length: 5\r\n\r\nfound";
    };
    if (!deployment.AddReplica(
            {id, "emplacement-desk", deployment.Ip(200 + i), zones[i]},
            handler)) {
      return lab::kCouldNotRun;
    }
  }
  const std::string config = lab::ConfigJson(
      1, lab::RouteJson("fetch", "/fetch/", "safe", "emplacement-desk"),
      {"emplacement-desk"});
  if (!deployment.Start() || !deployment.Put(config) ||
      !deployment.WaitReady()) {
    return lab::kCouldNotRun;
  }
  std::atomic<bool> is_over{false};
  std::atomic<int> served{0};
  std::thread consumers([&] {
    for (int n = 0; !is_over; ++n) {
      const auto answer = lab::Call(
          deployment.GatewayIp(n % 3), lab::kCallerPort, "GET",
          "/fetch/consignment",
          "Host: h.example\r\nChicoryvale-Request-Id: r" + std::to_string(n) +
              "\r\nChicoryvale-Deadline-Ms: 4000\r\n",
          "", 4500);
      record->Line("consumer: r%d answered %d", n,
                   answer ? answer->Status() : 0);
      if (answer && answer->Status() == 200) ++served;
      lab::SleepMs(25);
    }
  });
  const auto finish = [&](int result) {
    is_over = true;
    consumers.join();
    return result;
  };

  // Sends an order to `first`, and to the next machines until one acknowledges
  // it.
  const auto order = [&](const std::string& method, int first) {
    for (int i = 0; i < 12; ++i) {
      const int control = (first + i) % 3;
      const auto answer = lab::Call(
          deployment.ControlIp(control), lab::kControlPort, method,
          "/evacuate/" + zones[0], "Host: control\r\n", "", kOrderTimeoutMs);
      record->Line("operator: %s /evacuate/%s at control %d: %d",
                   method.c_str(), zones[0].c_str(), control,
                   answer ? answer->Status() : 0);
      if (answer && answer->Status() / 100 == 2) return true;
      lab::SleepMs(100);
    }
    return false;
  };

  lab::SleepMs(8000);
  if (!order("POST", 0)) return finish(lab::kCouldNotRun);
  lab::SleepMs(5000);
  constexpr int kFrozen = 2;
  const double frozen_at = lab::Seconds();
  if (lab::HasTrouble()) {
    deployment.Control(kFrozen).Signal(SIGSTOP);
    record->Line("control %d is frozen", kFrozen);
  }
  lab::SleepMs(100);
  if (!order("DELETE", kFrozen)) return finish(lab::kCouldNotRun);
  lab::SleepMs(kWithdrawnMs);
  if (!order("POST", 0)) return finish(lab::kCouldNotRun);
  const double acknowledged_at = lab::Seconds();
  while (lab::Seconds() < frozen_at + kFreezeMs / 1000.0) lab::SleepMs(10);
  if (acknowledged_at > frozen_at + kFreezeMs / 1000.0)
    return finish(lab::kCouldNotRun);
  if (lab::HasTrouble()) {
    deployment.Control(kFrozen).Signal(SIGCONT);
    record->Line("control %d runs again", kFrozen);
  }
  const double from = lab::Seconds() + kAllBoundsS;
  while (lab::Seconds() < from + kCheckedS) lab::SleepMs(100);
  finish(lab::kHeld);

  const std::lock_guard<std::mutex> lock(mutex);
  int in_zone = 0;
  int elsewhere = 0;
  for (const Run& run : runs) {
    if (run.at < from) continue;
    ++(run.zone == zones[0] ? in_zone : elsewhere);
  }
  record->Line(
      "from %.1f s on, %.0f s after the machine woke: %d requests reached the "
      "evacuated "
      "zone, %d the others; %d requests were served in all",
      from, kAllBoundsS, in_zone, elsewhere, served.load());
  if (in_zone + elsewhere < 50) return lab::kCouldNotRun;
  return in_zone > 0 ? lab::kBroken : lab::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return lab::Main(argc, argv, Play); }
