// A replica that is full refuses a request that may run once at most; its second copy of
// that refusal arrives late, where the answer to the repeated request is due.

#include "lab.hpp"

namespace {

using namespace lab;

constexpr int kReplicas = 2;
constexpr int kSlots = 2;
constexpr int kQueue = 1;
constexpr double kWorkMs = 12;
constexpr int kGateways = 9;
constexpr int kClients = 30;
constexpr double kDeadlineMs = 5000;

// The disruption, within the limits of the pages: kind = "garble", how = "extra late",
// share = 0.5, x = 0.04, for_s = 5.0, twelve times.
constexpr double kGarbledAnswers = 0.04;
constexpr double kGarbleMs = 5000;
constexpr double kPauseMs = 1500;
constexpr int kGarbleTimes = 12;

std::atomic<bool> g_garbling{false};
std::atomic<bool> g_stopping{false};

struct Run {
  std::string replica;
  double at_ms;
};

std::mutex g_mutex;
std::map<std::string, std::vector<Run>> g_runs;
std::map<std::string, int> g_answers;   // status that the client got, by request id
std::map<std::string, int> g_bookings;  // number of runs, by booking

class Replica {
 public:
  Replica(std::string id, const std::string& ip, bool may_garble)
      : m_id(std::move(id)), m_server(ip), m_may_garble(may_garble) {}

  bool Open() {
    return m_server.Open([this](int fd) { Serve(fd); });
  }
  [[nodiscard]] Listed Entry(const std::string& service, const std::string& zone) const {
    return {m_id, service, m_server.Address(), zone, kSlots, false};
  }

 private:
  // Whether this answer gets a second copy: at most the share kGarbledAnswers of the
  // answers that were given while the disruption lasts, all of them first refusals.
  bool TakesCopy(const std::string& id) {
    if (!m_may_garble || !g_garbling) return false;
    std::lock_guard lock(m_mutex);
    if (!m_refused.insert(id).second) return false;
    if (m_copies + 1 > kGarbledAnswers * m_answers) return false;
    ++m_copies;
    return true;
  }

  void CountAnswer() {
    if (!g_garbling) return;
    std::lock_guard lock(m_mutex);
    ++m_answers;
  }

  bool Enter() {
    std::lock_guard lock(m_mutex);
    if (m_inside >= kSlots + kQueue) return false;
    ++m_inside;
    return true;
  }

  void WaitForSlot() {
    while (true) {
      {
        std::lock_guard lock(m_mutex);
        if (m_running < kSlots) {
          ++m_running;
          return;
        }
      }
      SleepMs(1);
    }
  }

  void Leave() {
    std::lock_guard lock(m_mutex);
    --m_running;
    --m_inside;
  }

  static std::string Answer(const char* status_line, const std::string& id,
                            const std::string& more, const std::string& body) {
    return std::string("HTTP/1.1 ") + status_line + "\r\nChicoryvale-Request-Id: " + id + "\r\n" +
           more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void Serve(int fd) {
    std::string buffer;
    std::string late_copy;
    Request request;
    while (ReadRequest(fd, &buffer, &request)) {
      const std::string id = request.headers.Get("Chicoryvale-Request-Id");
      // The second copy of the previous answer arrives where the next answer is due.
      if (!late_copy.empty()) {
        Record("replica %s: request %s arrived; late copy of the previous answer sent first",
               m_id.c_str(), id.c_str());
        if (!SendAll(fd, std::exchange(late_copy, ""))) return;
      }
      CountAnswer();
      if (request.headers.Get("Chicoryvale-Expect-Instance") != m_id) {
        if (!SendAll(fd, Answer("421 Misdirected Request", id,
                                "Chicoryvale-Not-Executed: 1\r\n", ""))) return;
        continue;
      }
      if (!Enter()) {
        const std::string refusal =
            Answer("503 Service Unavailable", id, "Chicoryvale-Not-Executed: 1\r\n", "full");
        Record("replica %s: refused %s, full", m_id.c_str(), id.c_str());
        if (TakesCopy(id)) late_copy = refusal;
        if (!SendAll(fd, refusal)) return;
        continue;
      }
      WaitForSlot();
      int times = 0;
      {
        std::lock_guard lock(g_mutex);
        g_runs[id].push_back({m_id, NowMs()});
        ++g_bookings[request.body];
        times = static_cast<int>(g_runs[id].size());
      }
      Record("replica %s: runs %s%s", m_id.c_str(), id.c_str(),
             times > 1 ? " which has run before" : "");
      SleepMs(kWorkMs);
      Leave();
      if (!SendAll(fd, Answer("200 OK", id, "Chicoryvale-Server-Stamp: " + MakeStamp() + "\r\n",
                              "done " + id))) return;
    }
  }

  std::string m_id;
  Server m_server;
  bool m_may_garble;
  std::mutex m_mutex;
  int m_running = 0;
  int m_inside = 0;
  int m_answers = 0;
  int m_copies = 0;
  std::set<std::string> m_refused;
};

// Sends bookings. One that is answered 503, which promises that it has not run, is sent
// again once under a new request id.
void RunClient(const std::vector<std::string>& fronts, int number) {
  std::mt19937 random(static_cast<unsigned>(number));
  const std::string& to = fronts[static_cast<std::size_t>(number) % fronts.size()];
  for (int i = 0; !g_stopping; ++i) {
    const std::string booking = std::to_string(number) + "-" + std::to_string(i);
    for (int attempt = 0; attempt < 2; ++attempt) {
      const std::string id = MakeId();
      const Response response = Call(
          to, "POST /book/" + booking + " HTTP/1.1\r\nHost: fair.example\r\n"
              "Chicoryvale-Request-Id: " + id + "\r\nChicoryvale-Deadline-Ms: " +
              std::to_string(static_cast<int>(kDeadlineMs)) + "\r\nContent-Length: " +
              std::to_string(booking.size()) + "\r\nConnection: close\r\n\r\n" + booking,
          kDeadlineMs + 1000);
      {
        std::lock_guard lock(g_mutex);
        g_answers[id] = response.status;
      }
      Record("client %d: %s (booking %s) answered %d %s", number, id.c_str(), booking.c_str(),
             response.status, response.failure.c_str());
      SleepMs(1000 * atof(response.headers.Get("Retry-After").c_str()));
      if (response.status != 503) break;
    }
    SleepMs(static_cast<double>(random() % 160));
  }
}

}  // namespace

int main(int argc, char** argv) {
  const Folders folders = Begin(argc, argv);
  Deployment deployment(folders.root, folders.temporary);
  Platform platform(deployment.StandInIp(0));
  std::vector<std::unique_ptr<Replica>> replicas;
  const char* zones[] = {"rajkot-a", "jamnagar-b"};
  if (!platform.Open()) End(&deployment, kCouldNotRun, "no platform");
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>("i-once" + std::to_string(i),
                                                 deployment.StandInIp(1 + i), i == 0));
    if (!replicas.back()->Open()) End(&deployment, kCouldNotRun, "no replica");
    platform.Set(replicas.back()->Entry("booking", zones[i]));
  }
  if (!deployment.Start(platform.Address(), kGateways)) End(&deployment, kCouldNotRun, "no processes");
  const std::string config =
      R"({"version":1,"routes":[{"name":"r-book","host":"fair.example","pathPrefix":"/book/",)"
      R"("routeType":"unsafe","timeoutMs":5000,"targetLatencyMs":500,"priority":1,)"
      R"("backend":"booking","maxAttempts":2}],"backends":[{"name":"booking",)"
      R"("healthPath":"/health","maxConnections":50,"protocol":"h1","tls":false}],)"
      R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)"
      R"("idleTimeoutMs":15000}})";
  if (!deployment.PutConfig(config, 20000)) End(&deployment, kCouldNotRun, "no configuration");
  if (!deployment.WaitUntilReady(20000)) End(&deployment, kCouldNotRun, "not ready");
  SleepMs(3000);
  std::vector<std::string> fronts;
  for (const Node* node : deployment.Gateways()) fronts.push_back(Deployment::Front(*node));
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) clients.emplace_back(RunClient, fronts, i);
  SleepMs(6000);
  for (int i = 0; i < kGarbleTimes; ++i) {
    g_garbling = HasTrouble();
    if (g_garbling) Record("disruption: replica i-once0 sends second copies, late, from now on");
    SleepMs(kGarbleMs);
    if (g_garbling) Record("disruption: over");
    g_garbling = false;
    SleepMs(kPauseMs);
  }
  g_stopping = true;
  for (std::thread& client : clients) client.join();
  if (deployment.HasDied()) End(&deployment, kCouldNotRun, "a process ended");
  std::lock_guard lock(g_mutex);
  int twice = 0;
  int denied = 0;
  int served = 0;
  for (const auto& [id, runs] : g_runs) {
    if (runs.size() > 1) {
      ++twice;
      Record("TWICE: %s ran %zu times", id.c_str(), runs.size());
    }
    const auto answer = g_answers.find(id);
    if (answer == g_answers.end()) continue;
    if (answer->second == 503 || answer->second == 429) {
      ++denied;
      Record("REFUSED: %s ran, and the client was told %d", id.c_str(), answer->second);
    }
  }
  for (const auto& [id, status] : g_answers) served += status == 200 ? 1 : 0;
  int booked_twice = 0;
  for (const auto& [booking, runs] : g_bookings) booked_twice += runs > 1 ? 1 : 0;
  const std::string summary =
      std::to_string(g_answers.size()) + " requests, " + std::to_string(served) + " served, " +
      std::to_string(twice) + " ran twice, " + std::to_string(denied) +
      " ran and were answered 503; " + std::to_string(booked_twice) + " bookings applied twice";
  if (served < 100) End(&deployment, kCouldNotRun, summary);
  End(&deployment, twice > 0 ? kBroken : kHeld, summary);
}
