#ifndef CHICORYVALE_TESTS_HOSTILE_HOSTILE_CROWD_H_
#define CHICORYVALE_TESTS_HOSTILE_HOSTILE_CROWD_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "fakes/raw_socket.h"
#include "process/process.h"

namespace chicoryvale {

/// Limits that the tests set for each process.
inline constexpr std::size_t kMemoryMb = 48;
inline constexpr std::size_t kMaxFds = 256;

/// Time after which a caller gives up sending to a process that does not read.
inline constexpr int kSendTimeoutS = 3;

/// Returns the settings with these limits.
inline std::string LimitSettings() {
  return "limits.memory_mb = " + std::to_string(kMemoryMb) +
         "\nlimits.max_fds = " + std::to_string(kMaxFds) + "\n";
}

/// Expects that `process` lives and is within the limits.
inline void ExpectWithinLimits(const char* when, const Process& process) {
  constexpr std::size_t kBytesPerMb = std::size_t{1} << 20;
  const std::size_t peak = process.PeakMemoryBytes();
  const std::size_t descriptors = process.OpenDescriptorCount();
  std::printf("%s: peak memory %zu KiB, open descriptors %zu\n", when,
              peak >> 10U, descriptors);
  EXPECT_GT(peak, 0U) << "the process has ended";
  EXPECT_LT(peak, kMemoryMb * kBytesPerMb);
  EXPECT_LT(descriptors, kMaxFds);
}

/// What each connection of a crowd sends.
struct HostileCase {
  const char* name;
  std::size_t connections;
  std::function<void(RawSocket& connection)> send;
};

inline void PrintTo(const HostileCase& hostile, std::ostream* out) {
  *out << hostile.name;
}

inline std::string Head(const std::string& method, const std::string& path,
                        const std::string& headers) {
  return method + " " + path +
         " HTTP/1.1\r\nHost: h\r\nChicoryvale-Request-Id: r\r\n"
         "Chicoryvale-Deadline-Ms: 15000\r\n" +
         headers + "\r\n";
}

inline std::string LengthHead(const std::string& method,
                              const std::string& path, std::size_t bytes) {
  return Head(method, path,
              "Content-Length: " + std::to_string(bytes) + "\r\n");
}

/// Sends `text` in writes of `piece` bytes.
inline void SendInPieces(RawSocket& connection, std::string_view text,
                         std::size_t piece) {
  while (!text.empty()) {
    if (!connection.Send(text.substr(0, piece))) return;
    text.remove_prefix(std::min(piece, text.size()));
  }
}

/// Sends `head`, `count` chunks of `bytes` bytes, and all but the last byte of
/// the final, empty chunk.
inline void SendChunks(RawSocket& connection, const std::string& head,
                       std::size_t count, std::size_t bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes);
  const std::string chunk = size + std::string(bytes, 'x') + "\r\n";
  std::string text = head;
  for (std::size_t i = 0; i < count; ++i) text += chunk;
  text += "0\r\n\r";
  connection.Send(text);
}

/// Sends `text` until the process closes the connection or `max_bytes` bytes
/// are sent.
inline void SendRepeatedly(RawSocket& connection, const std::string& text,
                           std::size_t max_bytes) {
  for (std::size_t sent = 0; sent < max_bytes; sent += text.size()) {
    if (!connection.Send(text)) return;
  }
}

/// Runs `hostile` on that many connections to `address` at once, which all stay
/// open until each has sent everything and `at_peak` has returned.
inline void RunCrowd(const Address& address, const HostileCase& hostile,
                     const std::function<void()>& at_peak) {
  std::vector<std::unique_ptr<RawSocket>> connections(hostile.connections);
  std::vector<std::thread> threads;
  threads.reserve(hostile.connections);
  for (auto& connection : connections) {
    threads.emplace_back([&connection, &address, &hostile] {
      connection = std::make_unique<RawSocket>(address);
      connection->SetSendTimeout(kSendTimeoutS);
      if (connection->Connected()) hostile.send(*connection);
    });
  }
  for (std::thread& thread : threads) thread.join();
  EXPECT_TRUE(std::ranges::any_of(connections, &RawSocket::Connected,
                                  &std::unique_ptr<RawSocket>::operator*));
  at_peak();
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_HOSTILE_HOSTILE_CROWD_H_
