// All replicas of a service crash together once. Afterwards, a page that many
// consumers read is refused, while other pages of the service are served.
//
// case12 RECORD: the driver
// case12 replica ID ADDRESS LOG: a replica

#include <condition_variable>

#include "../lab3.hpp"

namespace {

using namespace lab3;

constexpr int kReplicas = 4;
constexpr int kSlots = 3;
constexpr int kQueue = 12;
constexpr long kWorkMs = 120;
constexpr int kGateways = 3;
constexpr long kCrashAtMs = 5'000;
constexpr long kDownMs = 4'500;
constexpr long kTrafficMs = 80'000;
constexpr int kDeadlineMs = 5'000;

constexpr char kConfig[] = R"({"version":1,"routes":[
{"name":"r-today","host":"desk.example","pathPrefix":"/today/","routeType":"safe","timeoutMs":5000,"targetLatencyMs":500,"priority":2,"backend":"portal","maxAttempts":2},
{"name":"r-sketch","host":"desk.example","pathPrefix":"/sketch/","routeType":"safe","timeoutMs":5000,"targetLatencyMs":500,"priority":2,"backend":"portal","maxAttempts":2}],
"backends":[{"name":"portal","healthPath":"/health","maxConnections":192,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

// ------------------------------------------------------------------- replica

/// The slots and the queue of a replica.
class Slots {
 public:
  /// Waits for a slot; false if the queue is full.
  bool Take() {
    std::unique_lock lock(m_mutex);
    if (m_running >= kSlots && m_waiting >= kQueue) return false;
    ++m_waiting;
    m_free.wait(lock, [this] { return m_running < kSlots; });
    --m_waiting;
    ++m_running;
    return true;
  }
  void Release() {
    const std::lock_guard lock(m_mutex);
    --m_running;
    m_free.notify_one();
  }
  std::string Load() {
    const std::lock_guard lock(m_mutex);
    return std::to_string(m_running) + "," + std::to_string(m_waiting) + "," +
           std::to_string(kSlots);
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_free;
  int m_running = 0;
  int m_waiting = 0;
};

int RunReplica(const std::string& id, const HostPort& address,
               const std::string& log_path) {
  static Slots slots;
  static Record log(log_path);
  Server server;
  const bool started = server.Start(address, [id](Connection* connection) {
    Message request;
    while (connection->Read(&request, 60'000) == End::kComplete) {
      const std::string request_id = request.Header("Chicoryvale-Request-Id");
      const std::string echo = "Chicoryvale-Request-Id: " + request_id + "\r\n";
      if (request.Header("Chicoryvale-Expect-Instance") != id) {
        connection->Send(FormatAnswer(421, echo, ""));
        continue;
      }
      if (!slots.Take()) {
        connection->Send(
            FormatAnswer(503, echo + "Chicoryvale-Not-Executed: 1\r\n", ""));
        continue;
      }
      log.Line("run " + request_id);
      SleepMs(kWorkMs);
      slots.Release();
      connection->Send(FormatAnswer(200,
                                    echo + "Chicoryvale-Server-Stamp: " + id +
                                        "." + request_id +
                                        "\r\nChicoryvale-Server-Load: " +
                                        slots.Load() + "\r\n",
                                    request.Path()));
    }
  });
  if (!started) return kCannotRun;
  while (true) pause();
}

// -------------------------------------------------------------------- driver

struct Kind {
  std::string name;
  /// Requests that began from 12 s after the replicas were back.
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  std::atomic<int> sent_late{0};
  std::atomic<int> served_late{0};
  std::mutex mutex;
  std::map<std::string, int> ends;
};

/// One request of a consumer with one retry, as PROTOCOL.md tells.
void Request(const Deployment& deployment, Kind* kind, const std::string& path,
             int number, long sent_at, bool is_late, Record* record) {
  ++kind->sent;
  if (is_late) ++kind->sent_late;
  std::string how;
  bool served = false;
  for (int attempt = 0; attempt < 2 && !served; ++attempt) {
    const long left = sent_at + kDeadlineMs - NowMs();
    const std::string id = kind->name + std::to_string(number) +
                           (attempt == 0 ? "-a" : "-b");
    Connection connection;
    Message answer;
    const HostPort front =
        deployment.FrontAddress((number + attempt) % kGateways);
    End end = End::kClosed;
    if (connection.Open(front)) {
      connection.Send(RequestBytes("GET", path, id, static_cast<int>(left)));
      end = connection.Read(&answer, left);
    }
    const bool complete = end == End::kComplete;
    how += (how.empty() ? "" : " then ") +
           (complete ? std::to_string(answer.Status()) : Name(end));
    served = complete && answer.Status() == 200 &&
             answer.Header("Chicoryvale-Server-Stamp").ends_with("." + id) &&
             answer.body == path;
    if (served) break;
    const std::string retry_after = answer.Header("Retry-After");
    const long third = (sent_at + kDeadlineMs - NowMs()) / 3;
    SleepMs(std::min<long>(
        third, retry_after.empty()
                   ? 50
                   : static_cast<long>(1000 * std::atof(retry_after.c_str()))));
  }
  if (served) {
    ++kind->served;
    if (is_late) ++kind->served_late;
  }
  record->Line("request " + path + " " + std::to_string(number) + ": " + how);
  const std::lock_guard lock(kind->mutex);
  ++kind->ends[how];
}

int RunDriver(const std::string& self, const std::string& record_path) {
  Record record(record_path);
  const std::string folder = MakeFolder();
  Deployment deployment(3, kGateways, folder);
  std::vector<Listed> list;
  std::vector<pid_t> replicas(kReplicas);
  const auto start_replica = [&](int i, int start) {
    const std::string id = "i-" + std::to_string(i) + "-" +
                           std::to_string(start);
    const HostPort address = deployment.ReplicaAddress(i);
    replicas[i] = Spawn({self, "replica", id, address.Text(),
                         folder + "/" + id + ".txt"},
                        folder + "/" + id + ".log");
    return Listed{id, "portal", address.Text(), Deployment::Zone(i), kSlots,
                  "ready"};
  };
  for (int i = 0; i < kReplicas; ++i) list.push_back(start_replica(i, 0));
  deployment.SetList(list);
  if (!deployment.Start(kConfig)) return kCannotRun;
  SleepMs(4'000);

  Kind today{.name = "today"};
  Kind sketch{.name = "sketch"};
  std::vector<std::thread> threads;
  std::atomic<int> open{0};
  const long begin = NowMs();
  bool crashed = false;
  bool back = false;
  for (int n = 0; NowMs() < begin + kTrafficMs; ++n) {
    const long since = NowMs() - begin;
    if (HasTrouble() && !crashed && since >= kCrashAtMs) {
      crashed = true;
      for (int i = 0; i < kReplicas; ++i) kill(replicas[i], SIGKILL);
      for (int i = 0; i < kReplicas; ++i) Kill(replicas[i]);
      record.Line("all replicas crash");
    }
    if (crashed && !back && since >= kCrashAtMs + kDownMs) {
      back = true;
      for (int i = 0; i < kReplicas; ++i) list[i] = start_replica(i, 1);
      deployment.SetList(list);
      record.Line("all replicas are back, with new ids");
    }
    const bool is_late = since >= kCrashAtMs + kDownMs + 12'000;
    const bool is_today = n % 3 != 0;
    ++open;
    std::thread([&, n, is_today, is_late, sent_at = NowMs()] {
      if (is_today) {
        Request(deployment, &today, "/today/page", n, sent_at, is_late,
                &record);
      } else {
        Request(deployment, &sketch, "/sketch/" + std::to_string(n), n, sent_at,
                is_late, &record);
      }
      --open;
    }).detach();
    SleepMs(begin + (n + 1) * 20L - NowMs());
  }
  while (open > 0) SleepMs(20);
  const auto share = [](const std::atomic<int>& part,
                        const std::atomic<int>& all) {
    return all == 0 ? 0.0 : static_cast<double>(part) / all;
  };
  for (Kind* kind : {&today, &sketch}) {
    std::string ends;
    for (const auto& [how, count] : kind->ends) {
      ends += " [" + how + "]=" + std::to_string(count);
    }
    const std::string line =
        kind->name + ": sent " + std::to_string(kind->sent) + ", served " +
        std::to_string(kind->served) + "; sent from 12 s after the replicas "
        "were back " + std::to_string(kind->sent_late) + ", served " +
        std::to_string(kind->served_late) + "; ends:" + ends;
    record.Line(line);
    std::puts(line.c_str());
  }
  const double all = (today.served + sketch.served) * 1.0 /
                     std::max(1, today.sent + sketch.sent);
  const double worst = std::min(share(today.served, today.sent),
                                share(sketch.served, sketch.sent));
  const bool broken = worst < all / 4;
  const std::string verdict =
      "all requests served " + std::to_string(all) + ", the worst kind " +
      std::to_string(worst) + ": " + (broken ? "broken" : "held");
  record.Line(verdict);
  std::puts(verdict.c_str());
  EndChildren();
  std::system(("rm -rf " + folder).c_str());
  return broken ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc == 5 && std::string(argv[1]) == "replica") {
    return RunReplica(argv[2], ParseHostPort(argv[3]), argv[4]);
  }
  const int result = RunDriver(argv[0], argv[1]);
  EndChildren();
  return result;
}
