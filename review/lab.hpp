// Shared parts of the review's scripts: a small deployment of the real programs on
// loopback addresses, and stand-ins for the platform, the replicas, the operator and
// the clients. Everything runs on the real clock; one thread serves one connection.

#ifndef REVIEW_LAB_HPP_
#define REVIEW_LAB_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lab {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();

/// Milliseconds since the start of the script.
inline double NowMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - kStart).count();
}

inline void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/// Whether the run includes the disruption (TROUBLE=0 leaves it out).
inline bool HasTrouble() {
  const char* text = getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

// ---------------------------------------------------------------- the record

inline std::mutex g_record_mutex;
inline FILE* g_record = nullptr;

/// Appends a line to record.txt.
inline void Record(const char* format, ...) {
  std::lock_guard lock(g_record_mutex);
  if (g_record == nullptr) return;
  fprintf(g_record, "%9.1f ", NowMs());
  va_list args;
  va_start(args, format);
  vfprintf(g_record, format, args);
  va_end(args);
  fputc('\n', g_record);
}

// ------------------------------------------------------------------- sockets

inline void SetReceiveTimeout(int fd, double ms) {
  timeval t{};
  t.tv_sec = static_cast<time_t>(ms / 1000);
  t.tv_usec = static_cast<suseconds_t>((ms - 1000.0 * static_cast<double>(t.tv_sec)) * 1000);
  if (t.tv_sec == 0 && t.tv_usec == 0) t.tv_usec = 1000;
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

inline sockaddr_in ToSockaddr(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// Returns a listening socket, or -1.
inline int Listen(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = ToSockaddr(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// Connects to "ip:port" within a second. Returns -1 on failure.
inline int Dial(const std::string& host_port) {
  const std::size_t colon = host_port.rfind(':');
  const sockaddr_in address =
      ToSockaddr(host_port.substr(0, colon), atoi(host_port.c_str() + colon + 1));
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  timeval t{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// ---------------------------------------------------------------------- HTTP

struct Headers {
  std::vector<std::pair<std::string, std::string>> list;
  [[nodiscard]] std::string Get(const std::string& name) const {
    for (const auto& [key, value] : list) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return "";
  }
};

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
};

struct Response {
  /// 0: no complete response arrived.
  int status = 0;
  Headers headers;
  std::string body;
  /// Why there is no response: "closed", "reset", "timeout", "garbage".
  std::string failure;
};

/// Reads more bytes into `buffer`. Returns false at the end, with its reason.
inline bool ReceiveMore(int fd, std::string* buffer, std::string* failure) {
  char bytes[16384];
  while (true) {
    const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
    if (n < 0 && errno == EINTR) continue;
    if (n > 0) {
      buffer->append(bytes, static_cast<std::size_t>(n));
      return true;
    }
    if (failure != nullptr) {
      *failure = n == 0 ? "closed" : (errno == EAGAIN || errno == EWOULDBLOCK) ? "timeout" : "reset";
    }
    return false;
  }
}

/// Splits a message head into its first line and its headers.
inline std::string ParseHead(const std::string& head, Headers* headers) {
  std::istringstream lines(head);
  std::string first;
  std::getline(lines, first);
  if (!first.empty() && first.back() == '\r') first.pop_back();
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::size_t begin = colon + 1;
    while (begin < line.size() && line[begin] == ' ') ++begin;
    headers->list.push_back({line.substr(0, colon), line.substr(begin)});
  }
  return first;
}

/// Reads one request. `buffer` keeps bytes that follow it.
inline bool ReadRequest(int fd, std::string* buffer, Request* request) {
  *request = {};
  std::size_t end = 0;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!ReceiveMore(fd, buffer, nullptr)) return false;
  }
  const std::string first = ParseHead(buffer->substr(0, end), &request->headers);
  std::istringstream words(first);
  words >> request->method >> request->target;
  buffer->erase(0, end + 4);
  const auto length =
      static_cast<std::size_t>(atol(request->headers.Get("Content-Length").c_str()));
  while (buffer->size() < length) {
    if (!ReceiveMore(fd, buffer, nullptr)) return false;
  }
  request->body = buffer->substr(0, length);
  buffer->erase(0, length);
  return true;
}

/// Reads one response with a length. A response to HEAD has no body.
inline Response ReadResponse(int fd, std::string* buffer, bool is_head) {
  Response response;
  std::size_t end = 0;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (buffer->size() >= 5 && buffer->compare(0, 5, "HTTP/") != 0) {
      response.failure = "garbage";
      return response;
    }
    if (!ReceiveMore(fd, buffer, &response.failure)) return response;
  }
  const std::string first = ParseHead(buffer->substr(0, end), &response.headers);
  if (first.compare(0, 9, "HTTP/1.1 ") != 0) {
    response.failure = "garbage";
    return response;
  }
  buffer->erase(0, end + 4);
  const int status = atoi(first.c_str() + 9);
  std::size_t length = 0;
  if (!is_head && status != 204 && status != 304) {
    length = static_cast<std::size_t>(atol(response.headers.Get("Content-Length").c_str()));
  }
  while (buffer->size() < length) {
    if (!ReceiveMore(fd, buffer, &response.failure)) return response;
  }
  response.body = buffer->substr(0, length);
  buffer->erase(0, length);
  response.status = status;
  return response;
}

/// Sends a request on a new connection and reads the response.
inline Response Call(const std::string& to, const std::string& text, double timeout_ms) {
  Response response;
  const int fd = Dial(to);
  if (fd < 0) {
    response.failure = "refused";
    return response;
  }
  SetReceiveTimeout(fd, timeout_ms);
  if (SendAll(fd, text)) {
    std::string buffer;
    response = ReadResponse(fd, &buffer, text.compare(0, 5, "HEAD ") == 0);
  } else {
    response.failure = "reset";
  }
  close(fd);
  return response;
}

// ------------------------------------------------------------------- servers

/// Accepts connections and serves each one in a thread of its own.
class Server {
 public:
  using Serve = std::function<void(int fd)>;

  explicit Server(std::string ip) : m_ip(std::move(ip)) {}

  /// Starts to listen, on the earlier port if there was one.
  bool Open(Serve serve) {
    const int fd = Listen(m_ip, m_port);
    if (fd < 0) return false;
    m_port = PortOf(fd);
    m_listener = fd;
    const auto state = std::make_shared<State>();
    {
      std::lock_guard lock(m_mutex);
      m_state = state;
    }
    std::thread([fd, state, serve = std::move(serve)] {
      while (true) {
        const int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
          if (errno == EINTR || errno == ECONNABORTED) continue;
          return;
        }
        const int on = 1;
        setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
          std::lock_guard lock(state->mutex);
          if (state->closed) {
            close(connection);
            return;
          }
          state->connections.insert(connection);
        }
        std::thread([connection, state, serve] {
          serve(connection);
          std::lock_guard lock(state->mutex);
          state->connections.erase(connection);
          close(connection);
        }).detach();
      }
    }).detach();
    return true;
  }

  /// Stops listening and ends all connections, as the end of a process does.
  void Close() {
    std::shared_ptr<State> state;
    {
      std::lock_guard lock(m_mutex);
      state = std::exchange(m_state, nullptr);
    }
    if (state == nullptr) return;
    std::lock_guard lock(state->mutex);
    state->closed = true;
    shutdown(m_listener, SHUT_RDWR);
    close(m_listener);
    for (const int fd : state->connections) shutdown(fd, SHUT_RDWR);
  }

  [[nodiscard]] std::string Address() const { return m_ip + ":" + std::to_string(m_port); }

 private:
  struct State {
    std::mutex mutex;
    bool closed = false;
    std::set<int> connections;
  };

  std::string m_ip;
  int m_port = 0;
  int m_listener = -1;
  std::mutex m_mutex;
  std::shared_ptr<State> m_state;
};

/// One entry of the platform's list.
struct Listed {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  int slots = 2;
  bool draining = false;
};

/// The platform's list of replicas.
class Platform {
 public:
  explicit Platform(const std::string& ip) : m_server(ip) {}

  bool Open() {
    return m_server.Open([this](int fd) {
      std::string buffer;
      Request request;
      while (ReadRequest(fd, &buffer, &request)) {
        const std::string body = Body();
        if (!SendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body)) {
          return;
        }
        ++m_reads;
      }
    });
  }

  [[nodiscard]] std::string Address() const { return m_server.Address(); }
  [[nodiscard]] int Reads() const { return m_reads; }

  void Set(const Listed& replica) {
    std::lock_guard lock(m_mutex);
    m_replicas[replica.id] = replica;
  }
  void Remove(const std::string& id) {
    std::lock_guard lock(m_mutex);
    m_replicas.erase(id);
  }
  /// Sets an entry of another writer, as the bytes of a JSON object; "" removes it.
  void SetForeignEntry(const std::string& bytes) {
    std::lock_guard lock(m_mutex);
    m_foreign = bytes;
  }

 private:
  std::string Body() {
    std::lock_guard lock(m_mutex);
    std::string entries = m_foreign;
    for (const auto& [id, r] : m_replicas) {
      if (!entries.empty()) entries += ",";
      entries += "{\"backend\":\"" + r.service + "\",\"address\":\"" + r.address +
                 "\",\"zone\":\"" + r.zone + "\",\"version\":\"v1\",\"slots\":" +
                 std::to_string(r.slots) + ",\"state\":\"" + (r.draining ? "draining" : "ready") +
                 "\",\"warmupLeftMs\":0,\"id\":\"" + r.id + "\"}";
    }
    return "{\"instances\":[" + entries + "],\"nextPageToken\":null}";
  }

  Server m_server;
  std::mutex m_mutex;
  std::map<std::string, Listed> m_replicas;
  std::string m_foreign;
  std::atomic<int> m_reads{0};
};

// ---------------------------------------------------------------- deployment

using Values = std::map<std::string, std::string>;

/// Renders a settings template of deploy/ as the platform's pages describe it.
inline std::string Render(std::string text, const Values& values,
                          const std::vector<std::string>& seeds) {
  std::size_t begin = 0;
  while ((begin = text.find("{{#")) != std::string::npos) {
    const std::size_t name_end = text.find("}}", begin);
    const std::string name = text.substr(begin + 3, name_end - begin - 3);
    const std::string close_tag = "{{/" + name + "}}";
    const std::size_t close_at = text.find(close_tag, name_end);
    const std::string inner = text.substr(name_end + 2, close_at - name_end - 2);
    std::vector<std::string> items;
    if (name == "seeds") {
      items = seeds;
    } else if (values.contains(name)) {
      items = {values.at(name)};
    }
    std::string out;
    for (std::size_t i = 0; i < items.size(); ++i) {
      std::string one = inner;
      for (std::size_t at = 0; (at = one.find("{{.}}")) != std::string::npos;) {
        one.replace(at, 5, items[i]);
      }
      for (std::size_t at = 0; (at = one.find("{{,}}")) != std::string::npos;) {
        one.replace(at, 5, i + 1 < items.size() ? "," : "");
      }
      out += one;
    }
    text.replace(begin, close_at + close_tag.size() - begin, out);
  }
  while ((begin = text.find("{{")) != std::string::npos) {
    const std::size_t end = text.find("}}", begin);
    const auto value = values.find(text.substr(begin + 2, end - begin - 2));
    text.replace(begin, end + 2 - begin, value == values.end() ? "" : value->second);
  }
  return text;
}

inline std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream content;
  content << file.rdbuf();
  return content.str();
}

/// A machine of the system with its process.
struct Node {
  std::string name;
  bool is_control = false;
  std::string ip;
  std::string zone;
  pid_t pid = 0;
};

/// Three control machines and some entry machines in three zones, with the bounds of the
/// site sangh-search. Each process runs on an address of its own, with the settings that
/// the deploy file's templates give.
class Deployment {
 public:
  static constexpr int kControlPort = 8106;
  static constexpr int kFrontPort = 8104;
  static constexpr int kReadyPort = 8108;
  static constexpr int kPeerPort = 7380;
  static constexpr int kMetricsPort = 9464;

  Deployment(std::string root, std::string folder)
      : m_root(std::move(root)), m_folder(std::move(folder)) {}
  ~Deployment() { Stop(); }

  /// Starts all processes; the platform's list is at `list_address`.
  bool Start(const std::string& list_address, int gateways = 3) {
    m_list_address = list_address;
    if (!PickNetwork()) return false;
    const char* zones[] = {"rajkot-a", "jamnagar-b", "bhavnagar-c"};
    for (int i = 0; i < 3 + gateways; ++i) {
      Node node;
      node.is_control = i < 3;
      node.name = (node.is_control ? "control-" : "gateway-") +
                  std::to_string(node.is_control ? i : i - 3);
      node.ip = m_network + std::to_string(10 + i);
      node.zone = zones[(node.is_control ? i : i - 3) % 3];
      m_nodes.push_back(node);
      if (node.is_control) m_seeds.push_back(node.ip + ":" + std::to_string(kControlPort));
    }
    for (Node& node : m_nodes) {
      if (!StartNode(&node, true)) return false;
    }
    return true;
  }

  /// Starts the process of a machine with the command of the deploy file.
  bool StartNode(Node* node, bool bootstrap) {
    const std::string path = m_folder + "/" + node->name + ".conf";
    WriteSettings(*node, path, bootstrap);
    const std::string program =
        m_root + "/target/bin/" + (node->is_control ? "chicory-controld" : "chicory-gatewayd");
    const std::string log = m_folder + "/" + node->name + ".log";
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid < 0) return false;
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(1);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      setenv("GSETTINGS_BACKEND", "memory", 1);
      if (chdir(m_root.c_str()) != 0) _exit(1);
      execl(program.c_str(), program.c_str(), "--config", path.c_str(), nullptr);
      _exit(127);
    }
    node->pid = pid;
    Record("process %s started", node->name.c_str());
    return true;
  }

  /// Ends the process of a machine for good.
  void Kill(Node* node) {
    kill(node->pid, SIGKILL);
    waitpid(std::exchange(node->pid, 0), nullptr, 0);
    Record("process %s killed, its machine is gone for good", node->name.c_str());
  }

  /// Starts an empty control machine at a new address. The machines in `m_nodes` that run
  /// and the new one are the seeds of its settings file.
  bool AddControl(const std::string& zone) {
    Node node;
    node.is_control = true;
    node.name = "control-" + std::to_string(m_nodes.size());
    node.ip = m_network + std::to_string(10 + m_nodes.size());
    node.zone = zone;
    m_nodes.push_back(node);
    m_seeds.clear();
    for (const Node* control : Controls()) {
      const bool runs = control->pid != 0 || control->ip == node.ip;
      if (runs) m_seeds.push_back(control->ip + ":" + std::to_string(kControlPort));
    }
    return StartNode(&m_nodes.back(), false);
  }

  /// Reads the configuration at the control machines in turn. Returns its text, or "" if
  /// none of them answers 200 in time.
  std::string ReadConfig(double timeout_ms) {
    const double deadline = NowMs() + timeout_ms;
    for (std::size_t i = 0; NowMs() < deadline; ++i) {
      const std::string& to = m_seeds[i % m_seeds.size()];
      const Response response = Call(to, "GET /config HTTP/1.1\r\nHost: " + to + "\r\n\r\n", 1000);
      Record("operator GET /config at %s: %d %s", to.c_str(), response.status,
             response.failure.c_str());
      if (response.status == 200) return response.body;
      SleepMs(200);
    }
    return "";
  }

  /// Waits until every entry reports itself ready.
  bool WaitUntilReady(double timeout_ms) {
    const double deadline = NowMs() + timeout_ms;
    for (Node* node : Gateways()) {
      while (!IsReady(*node)) {
        if (NowMs() > deadline) return false;
        SleepMs(100);
      }
    }
    return true;
  }

  static bool IsReady(const Node& node) {
    return Call(node.ip + ":" + std::to_string(kReadyPort),
                "GET /ready HTTP/1.1\r\nHost: " + node.ip + "\r\nConnection: close\r\n\r\n", 1000)
               .status == 200;
  }

  /// Sends a configuration to the control machines in turn until one acknowledges it.
  bool PutConfig(const std::string& json, double timeout_ms) {
    const double deadline = NowMs() + timeout_ms;
    for (std::size_t i = 0; NowMs() < deadline; ++i) {
      const std::string& to = m_seeds[i % m_seeds.size()];
      const Response response = Call(
          to, "PUT /config HTTP/1.1\r\nHost: " + to +
                  "\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(json.size()) + "\r\n\r\n" + json, 1000);
      Record("operator PUT /config to %s: %d %s", to.c_str(), response.status,
             response.failure.c_str());
      if (response.status == 200) return true;
      SleepMs(300);
    }
    return false;
  }

  std::vector<Node*> Gateways() {
    std::vector<Node*> nodes;
    for (Node& node : m_nodes) {
      if (!node.is_control) nodes.push_back(&node);
    }
    return nodes;
  }
  std::vector<Node*> Controls() {
    std::vector<Node*> nodes;
    for (Node& node : m_nodes) {
      if (node.is_control) nodes.push_back(&node);
    }
    return nodes;
  }
  static std::string Front(const Node& node) {
    return node.ip + ":" + std::to_string(kFrontPort);
  }

  /// Whether a process that should run has ended.
  bool HasDied() {
    for (Node& node : m_nodes) {
      int status = 0;
      if (node.pid != 0 && waitpid(node.pid, &status, WNOHANG) == node.pid) {
        Record("process %s ended by itself, status %d", node.name.c_str(), status);
        node.pid = 0;
        return true;
      }
    }
    return false;
  }

  void Stop() {
    for (Node& node : m_nodes) {
      if (node.pid != 0) kill(node.pid, SIGKILL);
    }
    for (Node& node : m_nodes) {
      if (node.pid != 0) waitpid(std::exchange(node.pid, 0), nullptr, 0);
    }
  }

  /// An address for a stand-in, in the network of this run.
  [[nodiscard]] std::string StandInIp(int number) {
    if (m_network.empty() && !PickNetwork()) return "";
    return m_network + std::to_string(100 + number);
  }

 private:
  /// Picks 127.x.y.* such that all ports of the machines are free there.
  bool PickNetwork() {
    if (!m_network.empty()) return true;
    std::mt19937 random(static_cast<unsigned>(getpid()));
    for (int attempt = 0; attempt < 50; ++attempt) {
      const std::string network = "127." + std::to_string(20 + random() % 200) + "." +
                                  std::to_string(1 + random() % 250) + ".";
      bool free = true;
      for (int i = 0; i < 13 && free; ++i) {
        for (const int port : {kControlPort, kFrontPort, kReadyPort, kPeerPort, kMetricsPort}) {
          const int fd = Listen(network + std::to_string(10 + i), port);
          free = free && fd >= 0;
          if (fd >= 0) close(fd);
        }
      }
      if (free) {
        m_network = network;
        return true;
      }
    }
    return false;
  }

  void WriteSettings(const Node& node, const std::string& path, bool bootstrap) {
    const auto at = [&node](int port) { return node.ip + ":" + std::to_string(port); };
    const std::string data = m_folder + "/" + node.name + ".data";
    const Values values = {{"zone", node.zone},
                           {"ip", node.ip},
                           {"dataDir", data},
                           {"peerPortRange.0", std::to_string(kPeerPort)},
                           {"listen.control", at(kControlPort)},
                           {"listen.front", at(kFrontPort)},
                           {"listen.ready", at(kReadyPort)},
                           {"bootstrap", bootstrap ? "true" : "false"},
                           {"cloudApi.address", m_list_address},
                           {"bounds.drainMs", "3000"},
                           {"bounds.graceS", "6"},
                           {"bounds.retryBudgetRatio", "0.2"},
                           {"bounds.retryWindowS", "10"},
                           {"bounds.retryBudgetSlack", "129"}};
    const std::string name = node.is_control ? "control" : "gateway";
    std::ofstream(path) << Render(ReadFile(m_root + "/deploy/" + name + ".toml.in"), values,
                                  m_seeds);
  }

  std::string m_root;
  std::string m_folder;
  std::string m_network;
  std::string m_list_address;
  std::vector<std::string> m_seeds;
  std::vector<Node> m_nodes;
};

// ------------------------------------------------------------------ the run

/// The three folders that run.sh passes: the repository, the case, a temporary one.
struct Folders {
  std::string root;
  std::string self;
  std::string temporary;
};

inline Folders Begin(int argc, char** argv) {
  if (argc != 4) {
    fprintf(stderr, "usage: %s REPOSITORY CASE_FOLDER TEMPORARY_FOLDER\n", argv[0]);
    exit(kCouldNotRun);
  }
  signal(SIGPIPE, SIG_IGN);
  g_record = fopen((std::string(argv[2]) + "/record.txt").c_str(), "w");
  setvbuf(g_record, nullptr, _IOLBF, 0);
  Record("run with%s the disruption; times are milliseconds since the start",
         HasTrouble() ? "" : "out");
  return {argv[1], argv[2], argv[3]};
}

/// Writes the result and ends this process without waiting for its threads.
[[noreturn]] inline void End(Deployment* deployment, int result, const std::string& summary) {
  deployment->Stop();
  Record("result: %s: %s",
         result == kBroken ? "BROKEN" : result == kHeld ? "held" : "could not run",
         summary.c_str());
  printf("%s: %s\n",
         result == kBroken ? "rule broken" : result == kHeld ? "rule held" : "could not run",
         summary.c_str());
  fflush(nullptr);
  _exit(result);
}

/// Returns a MAC-like text that names one answer.
inline std::string MakeStamp() {
  static std::atomic<unsigned> number{0};
  char text[64];
  snprintf(text, sizeof text, "3e1b.07.%x.600.0.c9f2a4d1", ++number);
  return text;
}

inline std::string MakeId() {
  static std::atomic<unsigned> number{0};
  static const unsigned salt = static_cast<unsigned>(getpid()) * 2654435761U;
  char text[32];
  snprintf(text, sizeof text, "%08x%08x", salt, ++number);
  return text;
}

}  // namespace lab

#endif  // REVIEW_LAB_HPP_
