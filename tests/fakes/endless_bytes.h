#ifndef CHICORYVALE_TESTS_FAKES_ENDLESS_BYTES_H_
#define CHICORYVALE_TESTS_FAKES_ENDLESS_BYTES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "fakes/raw_socket.h"

namespace chicoryvale {

/// Bytes that are never a whole message, however long they go on.
struct EndlessBytes {
  const char* name;
  std::string first;
  std::string repeated;
};

/// Returns the start lines of responses whose status is no HTTP status.
inline std::vector<std::string> StartLinesWithoutStatus() {
  std::vector<std::string> lines;
  for (const char* status : {"000", "001", "099", "600", "999", "abc", "2x0"}) {
    lines.push_back("HTTP/1.1 " + std::string(status) + " Odd\r\n");
  }
  return lines;
}

/// Sends `bytes` until the peer closes the connection, or until `max_bytes` are
/// sent. Returns how many were.
inline std::size_t SendEndlessly(RawSocket* connection,
                                 const EndlessBytes& bytes,
                                 std::size_t max_bytes) {
  std::size_t sent = 0;
  connection->Send(bytes.first);
  while (sent < max_bytes && connection->Send(bytes.repeated)) {
    sent += bytes.repeated.size();
  }
  return sent;
}

/// Returns what may go on without end in a message whose head begins with
/// `start_line` and may be followed by a body.
inline std::vector<EndlessBytes> EndlessHeadsAndBodies(
    const std::string& start_line) {
  const std::string chunked = start_line + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string text(1000, 'x');
  return {{"no HTTP", "", text},
          {"header", start_line + "Name: ", text},
          {"headers", start_line, "Name: " + text + "\r\n"},
          {"body", start_line + "Content-Length: 9000000000000\r\n\r\n", text},
          {"chunks", chunked, "4\r\nabcd\r\n"},
          {"chunk size", chunked, "0"},
          {"chunk extension", chunked + "4;", text},
          {"trailer", chunked + "0\r\nName: ", text},
          {"trailers", chunked + "0\r\n", "Name: " + text + "\r\n"}};
}

/// Returns what a caller may send without end.
inline std::vector<EndlessBytes> EndlessRequests() {
  auto all = EndlessHeadsAndBodies("POST /p HTTP/1.1\r\nHost: h\r\n");
  all.push_back({"method", "P", "P"});
  all.push_back({"target", "GET /", std::string(1000, 'x')});
  return all;
}

/// Returns what a server may answer without end.
inline std::vector<EndlessBytes> EndlessResponses() {
  const std::string text(1000, 'x');
  auto all = EndlessHeadsAndBodies("HTTP/1.1 200 OK\r\n");
  all.push_back({"status line", "HTTP/1.1 200 ", text});
  all.push_back({"body until close", "HTTP/1.1 200 OK\r\n\r\n", text});
  all.push_back({"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"});
  return all;
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_ENDLESS_BYTES_H_
