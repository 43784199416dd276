// A small deployment for the scripts of the second review: control processes
// and gateways run as separate processes on loopback addresses, with the
// commands of the deploy file. The platform, the replicas, the consumers and
// the operator are threads of the script.
#ifndef REVIEW_LAB2_HPP_
#define REVIEW_LAB2_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// The whole script ends after this time, whatever happens.
constexpr int kMaxScriptSeconds = 110;

inline const Clock::time_point kStart = Clock::now();

inline double Seconds() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void SleepMs(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

/// Writes record.txt; a line begins with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path) {}
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    char time[32];
    snprintf(time, sizeof time, "%8.3f ", Seconds());
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << time << text << "\n";
    m_file.flush();
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

// Sockets and HTTP
// ---------------------------------------------------------------------------------

inline sockaddr_in ToAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ToAddress(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool IsFree(const std::string& ip, int port) {
  const int fd = Listen(ip, port);
  if (fd < 0) return false;
  close(fd);
  return true;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  [[nodiscard]] std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  [[nodiscard]] int Status() const {
    return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
  }
  [[nodiscard]] std::string Path() const {
    const std::size_t begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
};

/// Reads one message with a Content-Length. Returns nothing at the end of the
/// connection or after `timeout_ms`.
inline std::optional<Message> ReadMessage(int fd, std::string* buffer,
                                          int timeout_ms) {
  const auto end = Clock::now() + milliseconds(timeout_ms);
  std::size_t head_end = std::string::npos;
  Message message;
  std::size_t length = 0;
  while (true) {
    if (head_end == std::string::npos) {
      head_end = buffer->find("\r\n\r\n");
      if (head_end != std::string::npos) {
        std::size_t position = buffer->find("\r\n");
        message.first_line = buffer->substr(0, position);
        while (position < head_end) {
          const std::size_t begin = position + 2;
          position = buffer->find("\r\n", begin);
          const std::string line = buffer->substr(begin, position - begin);
          const std::size_t colon = line.find(':');
          if (colon == std::string::npos) continue;
          std::string name = line.substr(0, colon);
          std::transform(name.begin(), name.end(), name.begin(), ::tolower);
          const std::size_t value = line.find_first_not_of(' ', colon + 1);
          message.headers[name] =
              value == std::string::npos ? "" : line.substr(value);
        }
        length =
            std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
      }
    }
    if (head_end != std::string::npos &&
        buffer->size() >= head_end + 4 + length) {
      message.body = buffer->substr(head_end + 4, length);
      buffer->erase(0, head_end + 4 + length);
      return message;
    }
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - Clock::now()).count();
    if (left <= 0) return std::nullopt;
    pollfd waiting{fd, POLLIN, 0};
    if (poll(&waiting, 1, static_cast<int>(left)) <= 0) return std::nullopt;
    char bytes[16384];
    const ssize_t count = recv(fd, bytes, sizeof bytes, 0);
    if (count <= 0) return std::nullopt;
    buffer->append(bytes, static_cast<std::size_t>(count));
  }
}

/// Sends a request on a connection of its own and closes the connection after
/// the answer, or after `timeout_ms` without one.
inline std::optional<Message> Call(const std::string& ip, int port,
                                   const std::string& method,
                                   const std::string& path,
                                   const std::string& headers,
                                   const std::string& body, int timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToAddress(ip, port);
  std::optional<Message> answer;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0) {
    std::string request = method + " " + path + " HTTP/1.1\r\n" + headers;
    if (!body.empty() || method == "PUT" || method == "POST") {
      request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    std::string buffer;
    if (SendAll(fd, request + "Connection: close\r\n\r\n" + body)) {
      answer = ReadMessage(fd, &buffer, timeout_ms);
    }
  }
  close(fd);
  return answer;
}

/// A server that passes each request to a handler and sends what the handler
/// returns. A connection is closed where the handler returns nothing.
class Server {
 public:
  using Handler = std::function<std::string(const Message& request)>;
  Server(const std::string& ip, int port, Handler handler)
      : m_handler(std::move(handler)) {
    m_listener = Listen(ip, port);
    if (m_listener < 0) return;
    std::thread([this] { Accept(); }).detach();
  }
  [[nodiscard]] bool IsListening() const { return m_listener >= 0; }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      std::thread([this, fd] {
        std::string buffer;
        while (const auto request = ReadMessage(fd, &buffer, 60000)) {
          const std::string answer = m_handler(*request);
          if (answer.empty() || !SendAll(fd, answer)) break;
        }
        close(fd);
      }).detach();
    }
  }
  Handler m_handler;
  int m_listener = -1;
};

// Processes
// ----------------------------------------------------------------------------------------

class Process {
 public:
  Process(std::string binary, std::string settings_path, std::string log_path)
      : m_binary(std::move(binary)),
        m_settings_path(std::move(settings_path)),
        m_log_path(std::move(log_path)) {}
  ~Process() { Kill(); }
  bool Start() {
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int null_in = open("/dev/null", O_RDONLY);
      dup2(null_in, 0);
      FILE* log = fopen(m_log_path.c_str(), "a");
      dup2(fileno(log), 1);
      dup2(fileno(log), 2);
      setenv("GSETTINGS_BACKEND", "memory", 1);
      execl(m_binary.c_str(), m_binary.c_str(), "--config",
            m_settings_path.c_str(), nullptr);
      _exit(127);
    }
    return m_pid > 0;
  }
  void Signal(int number) const {
    if (m_pid > 0) kill(m_pid, number);
  }
  [[nodiscard]] bool Runs() {
    if (m_pid <= 0) return false;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid) return true;
    m_pid = 0;
    return false;
  }
  void Kill() {
    if (m_pid <= 0) return;
    kill(m_pid, SIGCONT);
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = 0;
  }

 private:
  std::string m_binary;
  std::string m_settings_path;
  std::string m_log_path;
  pid_t m_pid = 0;
};

struct Replica {
  std::string id;
  std::string service;
  std::string ip;
  std::string zone;
  /// How much longer the replica stays cold, as the list tells; never cold if
  /// not set.
  std::function<int()> warmup_left_ms = nullptr;
};

constexpr int kControlPort = 8106;
constexpr int kCallerPort = 8104;
constexpr int kReadyPort = 8108;
constexpr int kPeerPort = 7380;
constexpr int kMetricsPort = 9464;
constexpr int kReplicaPort = 8080;
constexpr int kPlatformPort = 8102;

/// Bounds of a deployment that the settings name.
struct Bounds {
  int drain_ms = 3000;
  int grace_s = 6;
  /// As the template of the settings shows it.
  std::string retry_slack = "104";
};

class Deployment {
 public:
  /// `root` is the root of the repository.
  Deployment(std::string root, int controls, int gateways,
             std::vector<std::string> zones, Bounds bounds = {})
      : m_root(std::move(root)), m_zones(std::move(zones)), m_bounds(bounds) {
    char folder[] = "/tmp/review-XXXXXX";
    if (mkdtemp(folder) != nullptr) m_folder = folder;
    m_prefix = FreePrefix();
    for (int i = 0; i < controls; ++i) m_control_ips.push_back(Ip(100 + i));
    for (int i = 0; i < gateways; ++i) m_gateway_ips.push_back(Ip(10 + i));
  }
  ~Deployment() {
    m_processes.clear();
    if (!m_folder.empty() && std::getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(m_folder, ignored);
    }
  }

  [[nodiscard]] std::string Ip(int host) const {
    return m_prefix + std::to_string(host);
  }
  [[nodiscard]] const std::string& ControlIp(int i) const {
    return m_control_ips.at(i);
  }
  [[nodiscard]] const std::string& GatewayIp(int i) const {
    return m_gateway_ips.at(i);
  }
  [[nodiscard]] Process& Control(int i) {
    return *m_processes.at("control" + std::to_string(i));
  }
  [[nodiscard]] Process& Gateway(int i) {
    return *m_processes.at("gateway" + std::to_string(i));
  }
  [[nodiscard]] std::string ZoneOf(int i) const {
    return m_zones[i % m_zones.size()];
  }

  /// Serves a replica and lists it.
  bool AddReplica(const Replica& replica, const Server::Handler& handler) {
    m_servers.push_back(
        std::make_unique<Server>(replica.ip, kReplicaPort, handler));
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_replicas.push_back(replica);
    return m_servers.back()->IsListening();
  }

  /// Starts the platform and all processes. Returns false if that fails.
  bool Start() {
    m_servers.push_back(std::make_unique<Server>(
        Ip(250), kPlatformPort,
        [this](const Message&) { return ReplicaList(); }));
    if (m_folder.empty() || !m_servers.back()->IsListening()) return false;
    for (std::size_t i = 0; i < m_control_ips.size(); ++i) {
      if (!StartProcess("control" + std::to_string(i), "chicory-controld",
                        ControlSettings(i))) {
        return false;
      }
    }
    for (std::size_t i = 0; i < m_gateway_ips.size(); ++i) {
      if (!StartProcess("gateway" + std::to_string(i), "chicory-gatewayd",
                        GatewaySettings(i))) {
        return false;
      }
    }
    return true;
  }

  /// Sends a configuration as the operator does until it is accepted.
  bool Put(const std::string& config, int timeout_s = 25) {
    const auto end = Clock::now() + std::chrono::seconds(timeout_s);
    for (std::size_t i = 0; Clock::now() < end; ++i) {
      const auto answer =
          Call(m_control_ips[i % m_control_ips.size()], kControlPort, "PUT",
               "/config", "Host: control\r\nContent-Type: application/json\r\n",
               config, 1000);
      if (answer && answer->Status() == 200) return true;
      SleepMs(200);
    }
    return false;
  }

  /// Waits until each gateway says that it is ready.
  bool WaitReady(int timeout_s = 25) {
    const auto end = Clock::now() + std::chrono::seconds(timeout_s);
    for (const std::string& ip : m_gateway_ips) {
      while (true) {
        const auto answer =
            Call(ip, kReadyPort, "GET", "/ready", "Host: ready\r\n", "", 1000);
        if (answer && answer->Status() == 200) break;
        if (Clock::now() > end) return false;
        SleepMs(100);
      }
    }
    return true;
  }

 private:
  // A free /24 of the loopback range, so that several scripts can run at the
  // same time.
  static std::string FreePrefix() {
    const auto pid = static_cast<unsigned>(getpid());
    for (unsigned i = 0; i < 200; ++i) {
      const unsigned number = pid + 977 * i;
      const std::string prefix = "127." + std::to_string(20 + number % 200) +
                                 "." + std::to_string(1 + number / 200 % 250) +
                                 ".";
      if (IsFree(prefix + "250", kPlatformPort) &&
          IsFree(prefix + "100", kPeerPort) &&
          IsFree(prefix + "10", kPeerPort) &&
          IsFree(prefix + "200", kReplicaPort)) {
        return prefix;
      }
    }
    return "127.20.1.";
  }

  std::string ReplicaList() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string entries;
    for (const Replica& replica : m_replicas) {
      if (!entries.empty()) entries += ",";
      entries +=
          R"({"backend":")" + replica.service + R"(","address":")" +
          replica.ip + ":" + std::to_string(kReplicaPort) + R"(","zone":")" +
          replica.zone +
          R"(","version":"v1","slots":4,"state":"ready","warmupLeftMs":)" +
          std::to_string(replica.warmup_left_ms ? replica.warmup_left_ms()
                                                : 0) +
          R"(,"id":")" + replica.id + R"("})";
    }
    const std::string body =
        R"({"instances":[)" + entries + R"(],"nextPageToken":null})";
    return "HTTP/1.1 200 OK\r\nContent-Type: "
           "application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  [[nodiscard]] std::string Seeds() const {
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, m_control_ips.size());
         ++i) {
      if (!seeds.empty()) seeds += ",";
      seeds += "\"" + m_control_ips[i] + ":" + std::to_string(kPeerPort) + "\"";
    }
    return seeds;
  }

  // The two below are deploy/*.toml.in, filled in.
  [[nodiscard]] std::string ControlSettings(std::size_t i) const {
    const std::string& ip = m_control_ips[i];
    return "availability_zone = \"" + ZoneOf(static_cast<int>(i)) +
           "\"\nlimits.memory_mb = 256\nlimits.max_fds = 4096\ndata_folder = "
           "\"" +
           m_folder + "/data" + std::to_string(i) +
           "\"\n\n[listen]\nrouting = \"" + ip + ":" +
           std::to_string(kControlPort) + "\"\npeers = \"" + ip + ":" +
           std::to_string(kPeerPort) + "\"\nmetrics = \"" + ip + ":" +
           std::to_string(kMetricsPort) + "\"\n\n[group]\nmembers = [" +
           Seeds() +
           "]\nmay_form = true\nkeep_members = "
           "true\n\n[membership]\npeers_share_port = true\n\n"
           "[keys]\npeer_key = \"chicoryvale-frames-of-one-deployment\"\n\n"
           "[shutdown]\nlinger_ms = 0\n\n[log]\ntarget = \"stdout\"\n";
  }

  [[nodiscard]] std::string GatewaySettings(std::size_t i) const {
    const std::string& ip = m_gateway_ips[i];
    return "availability_zone = \"" + ZoneOf(static_cast<int>(i)) +
           "\"\nlimits.memory_mb = 182\nlimits.max_fds = "
           "2870\n\n[listen]\ncallers = \"" +
           ip + ":" + std::to_string(kCallerPort) + "\"\nready = \"" + ip +
           ":" + std::to_string(kReadyPort) + "\"\npeers = \"" + ip + ":" +
           std::to_string(kPeerPort) + "\"\nmetrics = \"" + ip + ":" +
           std::to_string(kMetricsPort) + "\"\n\n[control]\naddresses = [" +
           Seeds() +
           "]\n\n[membership]\npeers_share_port = true\n\n"
           "[keys]\npeer_key = \"chicoryvale-frames-of-one-deployment\"\n\n"
           "[platform]\nreplica_list = \"" +
           Ip(250) + ":" + std::to_string(kPlatformPort) +
           "\"\nreplica_list_period_ms = 1000\nfirst_start = "
           "true\ndrain_time_ms = " +
           std::to_string(m_bounds.drain_ms) +
           "\n\n[repeats]\nratio = 0.2\nwindow_ms = 10000\nfixed = " +
           m_bounds.retry_slack +
           "\n\n[shutdown]\nlinger_ms = 2500\ngrace_ms = " +
           std::to_string(m_bounds.grace_s) +
           "000\n\n[log]\ntarget = \"stdout\"\n";
  }

  bool StartProcess(const std::string& name, const std::string& binary,
                    const std::string& settings) {
    const std::string path = m_folder + "/" + name + ".toml";
    std::ofstream(path) << settings;
    const std::string program = m_root + "/target/bin/" + binary;
    if (access(program.c_str(), X_OK) != 0) return false;
    m_processes[name] = std::make_unique<Process>(
        program, path, m_folder + "/" + name + ".log");
    return m_processes[name]->Start();
  }

  std::string m_root;
  std::vector<std::string> m_zones;
  Bounds m_bounds;
  std::string m_folder;
  std::string m_prefix;
  std::vector<std::string> m_control_ips;
  std::vector<std::string> m_gateway_ips;
  std::mutex m_mutex;
  std::vector<Replica> m_replicas;
  std::vector<std::unique_ptr<Server>> m_servers;
  std::map<std::string, std::unique_ptr<Process>> m_processes;
};

/// Whether the script brings its disruption about.
inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

/// The one line of a route in a configuration.
inline std::string RouteJson(const std::string& name, const std::string& prefix,
                             const std::string& type,
                             const std::string& service) {
  return R"({"name":")" + name + R"(","host":"h.example","pathPrefix":")" +
         prefix + R"(","routeType":")" + type +
         R"(","timeoutMs":5000,"targetLatencyMs":500,"priority":1,"backend":")" +
         service + R"(","maxAttempts":2})";
}

inline std::string ConfigJson(int version, const std::string& routes,
                              const std::vector<std::string>& services) {
  std::string backends;
  for (const std::string& service : services) {
    if (!backends.empty()) backends += ",";
    backends +=
        R"({"name":")" + service +
        R"(","healthPath":"/health","maxConnections":82,"protocol":"h1","tls":false})";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         routes + R"(],"backends":[)" + backends +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

/// Runs `script` with the root of the repository and the record, under the time
/// limit. Exits with its result without waiting for threads; the deployment has
/// ended its processes by then.
inline int Main(
    int argc, char** argv,
    const std::function<int(const std::string& root, Record* record)>& script) {
  if (argc != 3) {
    fprintf(stderr, "usage: %s ROOT RECORD\n", argv[0]);
    return kCouldNotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  signal(SIGALRM, [](int) { _exit(kCouldNotRun); });
  alarm(kMaxScriptSeconds);
  // Servers may still use the record when the script has returned.
  auto* record = new Record(argv[2]);
  const int result = script(argv[1], record);
  record->Line("result: %s", result == kHeld     ? "the rule held"
                             : result == kBroken ? "the rule was broken"
                                                 : "the case couldn't run");
  fflush(nullptr);
  _exit(result);
}

}  // namespace lab

#endif  // REVIEW_LAB2_HPP_
