// Parts that the cases 11 to 15 share: processes of a small deployment on
// loopback addresses, a small HTTP/1.1 server and client with blocking sockets,
// and the record of a run. Each case is one source file with a main function.

#ifndef REVIEW_LAB3_HPP_
#define REVIEW_LAB3_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lab3 {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();

/// Returns the milliseconds since the start of the process.
inline long NowMs() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - kStart)
      .count();
}

inline void SleepMs(long ms) {
  if (ms > 0) std::this_thread::sleep_for(milliseconds(ms));
}

inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

/// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

/// The file record.txt of a case. Thread safe.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    m_file << NowMs() << " ms  " << text << std::endl;
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

// ---------------------------------------------------------------- addresses

/// Returns the loopback address with host number `host` of this run. Runs with
/// other process ids have other addresses.
inline std::string Ip(int host) {
  static const int pid = static_cast<int>(getpid());
  return "127." + std::to_string(10 + pid % 200) + "." +
         std::to_string(1 + pid / 200 % 250) + "." + std::to_string(host);
}

struct HostPort {
  std::string ip;
  int port = 0;
  [[nodiscard]] std::string Text() const {
    return ip + ":" + std::to_string(port);
  }
};

inline HostPort ParseHostPort(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

inline sockaddr_in ToNative(const HostPort& address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
  return native;
}

// --------------------------------------------------------------------- HTTP

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  [[nodiscard]] std::string Header(std::string_view name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), std::string(name).c_str()) == 0) return value;
    }
    return "";
  }
  [[nodiscard]] int Status() const {
    return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
  }
  [[nodiscard]] std::string Path() const {
    const std::size_t begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  [[nodiscard]] std::string Method() const {
    return first_line.substr(0, first_line.find(' '));
  }
};

/// How the reading of a message ended.
enum class End { kComplete, kClosed, kReset, kTimeout, kMalformed };

inline const char* Name(End end) {
  constexpr const char* kNames[] = {"complete", "closed", "reset", "timeout",
                                    "malformed"};
  return kNames[static_cast<int>(end)];
}

/// A blocking connection.
class Connection {
 public:
  explicit Connection(int fd = -1) : m_fd(fd) {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Open(const HostPort& to, int receive_buffer = 0) {
    Close();
    m_in.clear();
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
      setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof receive_buffer);
    }
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in native = ToNative(to);
    if (connect(m_fd, reinterpret_cast<const sockaddr*>(&native),
                sizeof native) == 0) {
      return true;
    }
    Close();
    return false;
  }

  [[nodiscard]] bool IsOpen() const { return m_fd >= 0; }
  [[nodiscard]] int Fd() const { return m_fd; }

  void Close() {
    if (m_fd >= 0) close(m_fd);
    m_fd = -1;
  }

  /// Closes the connection with a reset.
  void Reset() {
    const linger now{1, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }

  bool Send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t count = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }

  /// Reads a whole message. `has_body` is false for answers without a body.
  End Read(Message* message, long timeout_ms) {
    const long deadline = NowMs() + timeout_ms;
    std::size_t head_end = std::string::npos;
    while ((head_end = m_in.find("\r\n\r\n")) == std::string::npos) {
      const End end = Fill(deadline);
      if (end != End::kComplete) return end;
    }
    *message = {};
    std::istringstream head(m_in.substr(0, head_end + 2));
    std::string line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (message->first_line.empty()) {
        message->first_line = line;
        continue;
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) return End::kMalformed;
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      message->headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    m_in.erase(0, head_end + 4);
    const std::size_t length = static_cast<std::size_t>(
        std::atol(message->Header("Content-Length").c_str()));
    while (m_in.size() < length) {
      const End end = Fill(deadline);
      if (end != End::kComplete) {
        message->body = m_in;
        return end;
      }
    }
    message->body = m_in.substr(0, length);
    m_in.erase(0, length);
    return End::kComplete;
  }

  /// Reads some bytes into the buffer; kComplete if there were any.
  End Fill(long deadline_ms) {
    pollfd event{m_fd, POLLIN, 0};
    const long left = deadline_ms - NowMs();
    if (left <= 0 || poll(&event, 1, static_cast<int>(left)) == 0) {
      return End::kTimeout;
    }
    char buffer[16384];
    const ssize_t count = recv(m_fd, buffer, sizeof buffer, 0);
    if (count == 0) return End::kClosed;
    if (count < 0) return End::kReset;
    m_in.append(buffer, static_cast<std::size_t>(count));
    return End::kComplete;
  }

  [[nodiscard]] const std::string& Buffered() const { return m_in; }

 private:
  int m_fd;
  std::string m_in;
};

inline std::string FormatAnswer(int status, const std::string& headers,
                                const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// An HTTP server with one thread for each connection.
class Server {
 public:
  /// Handles the connection until it ends.
  using Handler = std::function<void(Connection* connection)>;

  bool Start(const HostPort& address, Handler handler) {
    m_handler = std::move(handler);
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in native = ToNative(address);
    if (bind(m_fd, reinterpret_cast<const sockaddr*>(&native), sizeof native) !=
            0 ||
        listen(m_fd, 512) != 0) {
      return false;
    }
    std::thread([this] {
      while (true) {
        const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        const int no_delay = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
        std::thread([this, fd] {
          Connection connection(fd);
          m_handler(&connection);
        }).detach();
      }
    }).detach();
    return true;
  }

 private:
  int m_fd = -1;
  Handler m_handler;
};

// ---------------------------------------------------------------- processes

/// Process ids to end when the case ends.
inline std::vector<pid_t>& Children() {
  static std::vector<pid_t> children;
  return children;
}

inline pid_t Spawn(const std::vector<std::string>& words,
                   const std::string& output) {
  const pid_t pid = fork();
  if (pid != 0) {
    Children().push_back(pid);
    return pid;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int fd = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(fd, STDOUT_FILENO);
  dup2(fd, STDERR_FILENO);
  std::vector<char*> arguments;
  for (const std::string& word : words) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(127);
}

inline void Kill(pid_t pid, int signal_number = SIGKILL) {
  kill(pid, signal_number);
  if (signal_number != SIGKILL) return;
  waitpid(pid, nullptr, 0);
  std::erase(Children(), pid);
}

inline void EndChildren() {
  const std::vector<pid_t> children = Children();
  for (const pid_t pid : children) kill(pid, SIGCONT);
  for (const pid_t pid : children) Kill(pid);
}

/// Returns whether the process has ended.
inline bool HasEnded(pid_t pid) {
  return waitpid(pid, nullptr, WNOHANG) == pid;
}

// ----------------------------------------------------------------- templates

/// Values for a template of deploy/; lists are joined at their use.
struct Values {
  std::map<std::string, std::string> single;
  std::map<std::string, std::vector<std::string>> lists;
};

/// Fills the sections {{#a}}..{{/a}} and the places {{a}} of `text`.
inline std::string Fill(std::string text, const Values& values) {
  std::size_t at = 0;
  while ((at = text.find("{{#", at)) != std::string::npos) {
    const std::size_t name_end = text.find("}}", at);
    const std::string name = text.substr(at + 3, name_end - at - 3);
    const std::string close = "{{/" + name + "}}";
    const std::size_t close_at = text.find(close, name_end);
    const std::string body =
        text.substr(name_end + 2, close_at - name_end - 2);
    std::vector<std::string> entries;
    if (const auto list = values.lists.find(name); list != values.lists.end()) {
      entries = list->second;
    } else if (const auto one = values.single.find(name);
               one != values.single.end()) {
      entries = {one->second};
    }
    std::string filled;
    for (std::size_t i = 0; i < entries.size(); ++i) {
      std::string part = body;
      for (std::size_t dot; (dot = part.find("{{.}}")) != std::string::npos;) {
        part.replace(dot, 5, entries[i]);
      }
      for (std::size_t comma;
           (comma = part.find("{{,}}")) != std::string::npos;) {
        part.replace(comma, 5, i + 1 < entries.size() ? "," : "");
      }
      filled += part;
    }
    text.replace(at, close_at + close.size() - at, filled);
  }
  while ((at = text.find("{{")) != std::string::npos) {
    const std::size_t end = text.find("}}", at);
    const auto found = values.single.find(text.substr(at + 2, end - at - 2));
    text.replace(at, end + 2 - at,
                 found == values.single.end() ? "" : found->second);
  }
  return text;
}

inline std::string ReadWhole(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// ---------------------------------------------------------------- deployment

constexpr int kControlPort = 8106;
constexpr int kFrontPort = 8104;
constexpr int kReadyPort = 8108;
constexpr int kPeerPort = 7380;
constexpr int kCloudPort = 8102;
constexpr int kReplicaPort = 8080;

/// A replica as the platform lists it.
struct Listed {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  int slots = 3;
  std::string state = "ready";
};

/// Control and gateway processes with the settings of deploy/, the platform's
/// list and the operator. Runs in the root of the repository.
class Deployment {
 public:
  Deployment(int controls, int gateways, std::string folder)
      : m_controls(controls), m_gateways(gateways), m_folder(folder) {}

  static std::string Zone(int index) {
    return std::string("lom-") + static_cast<char>('a' + index % 4);
  }
  HostPort ControlAddress(int i) const { return {Ip(10 + i), kControlPort}; }
  HostPort FrontAddress(int i) const { return {Ip(40 + i), kFrontPort}; }
  HostPort ReadyAddress(int i) const { return {Ip(40 + i), kReadyPort}; }
  HostPort ReplicaAddress(int i) const { return {Ip(100 + i), kReplicaPort}; }

  /// Sets the platform's list. Thread safe.
  void SetList(std::vector<Listed> list) {
    const std::lock_guard lock(m_mutex);
    m_list = std::move(list);
  }

  bool StartCloud() {
    return m_cloud.Start({Ip(2), kCloudPort}, [this](Connection* connection) {
      Message request;
      while (connection->Read(&request, 60'000) == End::kComplete) {
        if (!connection->Send(FormatAnswer(
                200, "Content-Type: application/json\r\n", ListJson()))) {
          return;
        }
      }
    });
  }

  void StartControl(int i, bool bootstrap) {
    Values values = CommonValues(Ip(10 + i), Zone(i), bootstrap);
    const std::string data = m_folder + "/data-" + std::to_string(i);
    mkdir(data.c_str(), 0700);
    values.single["dataDir"] = data;
    values.single["limits.memoryMb"] = "256";
    values.single["limits.maxFds"] = "4096";
    values.single["listen.control"] = ControlAddress(i).Text();
    m_control_pids[i] =
        StartProgram("control" + std::to_string(i), "deploy/control.toml.in",
                     "target/bin/chicory-controld", values);
  }

  void StartGateway(int i, bool bootstrap) {
    Values values = CommonValues(Ip(40 + i), Zone(i), bootstrap);
    values.single["limits.memoryMb"] = "182";
    values.single["limits.maxFds"] = "2870";
    values.single["listen.front"] = FrontAddress(i).Text();
    values.single["listen.ready"] = ReadyAddress(i).Text();
    values.single["cloudApi.address"] = HostPort{Ip(2), kCloudPort}.Text();
    m_gateway_pids[i] =
        StartProgram("gateway" + std::to_string(i), "deploy/gateway.toml.in",
                     "target/bin/chicory-gatewayd", values);
  }

  /// Starts everything, sends the first configuration and waits until all
  /// gateways are ready.
  bool Start(const std::string& config) {
    if (!StartCloud()) return false;
    for (int i = 0; i < m_controls; ++i) StartControl(i, true);
    for (int i = 0; i < m_gateways; ++i) StartGateway(i, true);
    const long deadline = NowMs() + 20'000;
    int at = 0;
    while (Put(at++ % m_controls, config) != 200) {
      if (NowMs() > deadline) return false;
      SleepMs(200);
    }
    for (int i = 0; i < m_gateways; ++i) {
      while (!IsReady(i)) {
        if (NowMs() > deadline) return false;
        SleepMs(100);
      }
    }
    return true;
  }

  /// Sends a configuration to a control process; returns the status, 0 without
  /// an answer within a second.
  int Put(int control, const std::string& config) const {
    Connection connection;
    Message answer;
    if (!connection.Open(ControlAddress(control))) return 0;
    connection.Send("PUT /config HTTP/1.1\r\nHost: " +
                    ControlAddress(control).Text() +
                    "\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(config.size()) + "\r\n\r\n" + config);
    const End end = connection.Read(&answer, 1000);
    return end == End::kComplete ? answer.Status() : 0;
  }

  bool IsReady(int gateway) const {
    Connection connection;
    Message answer;
    if (!connection.Open(ReadyAddress(gateway))) return false;
    connection.Send("GET /ready HTTP/1.1\r\nHost: r\r\n\r\n");
    return connection.Read(&answer, 1000) == End::kComplete &&
           answer.Status() == 200;
  }

  pid_t GatewayPid(int i) const { return m_gateway_pids.at(i); }
  pid_t ControlPid(int i) const { return m_control_pids.at(i); }

 private:
  std::string ListJson() {
    const std::lock_guard lock(m_mutex);
    std::string entries;
    for (const Listed& one : m_list) {
      if (!entries.empty()) entries += ",";
      entries += R"({"backend":")" + one.service + R"(","address":")" +
                 one.address + R"(","zone":")" + one.zone +
                 R"(","version":"v1","slots":)" + std::to_string(one.slots) +
                 R"(,"state":")" + one.state +
                 R"(","warmupLeftMs":0,"id":")" + one.id + R"("})";
    }
    return R"({"instances":[)" + entries + R"(],"nextPageToken":null})";
  }

  Values CommonValues(const std::string& ip, const std::string& zone,
                      bool bootstrap) const {
    Values values;
    values.single = {{"ip", ip},
                     {"zone", zone},
                     {"peerPortRange.0", std::to_string(kPeerPort)},
                     {"bounds.drainMs", "3000"},
                     {"bounds.graceS", "6"},
                     {"bounds.retryBudgetRatio", "0.2"},
                     {"bounds.retryWindowS", "10"},
                     {"bounds.retryBudgetSlack", "104"}};
    if (bootstrap) values.single["bootstrap"] = "true";
    for (int i = 0; i < std::min(m_controls, 3); ++i) {
      values.lists["seeds"].push_back(ControlAddress(i).Text());
    }
    return values;
  }

  pid_t StartProgram(const std::string& name, const std::string& settings,
                     const std::string& program, const Values& values) {
    const std::string path = m_folder + "/" + name + ".conf";
    std::ofstream(path) << Fill(ReadWhole(settings), values);
    return Spawn({program, "--config", path}, m_folder + "/" + name + ".log");
  }

  int m_controls;
  int m_gateways;
  std::string m_folder;
  std::map<int, pid_t> m_control_pids;
  std::map<int, pid_t> m_gateway_pids;
  Server m_cloud;
  std::mutex m_mutex;
  std::vector<Listed> m_list;
};

/// Makes the temporary folder of a run.
inline std::string MakeFolder() {
  std::string path = "/tmp/chicoryvale-case-XXXXXX";
  return mkdtemp(path.data()) == nullptr ? "" : path;
}

/// The bytes of a consumer's request.
inline std::string RequestBytes(const std::string& method,
                                const std::string& path, const std::string& id,
                                int deadline_ms, const std::string& body = "") {
  std::string text = method + " " + path +
                     " HTTP/1.1\r\nHost: desk.example\r\n"
                     "Chicoryvale-Request-Id: " +
                     id + "\r\nChicoryvale-Deadline-Ms: " +
                     std::to_string(deadline_ms) + "\r\n";
  if (!body.empty() || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

}  // namespace lab3

#endif  // REVIEW_LAB3_HPP_
