#ifndef CHICORYVALE_PROGRAMS_CHICORYCTL_OPERATOR_CLIENT_H_
#define CHICORYVALE_PROGRAMS_CHICORYCTL_OPERATOR_CLIENT_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <string>
#include <vector>

#include "chicoryvale/error.h"

namespace google::protobuf {
class Message;
}  // namespace google::protobuf

namespace chicoryvale {

/// Addresses, credentials and timeout for calls of the operators' RPCs.
struct OperatorClientOptions {
  /// Addresses of the control VMs' operator listeners, tried in turn.
  std::vector<std::string> control;
  std::string token;
  std::uint32_t timeout_seconds = 5;
};

/// Calls the operators' RPCs of a control group. A request is retried at the
/// next control VM, for a change with the same operation id, if no answer
/// arrives, or if the error is kNotLeader, kNoQuorum, kShuttingDown or
/// kUpstreamUnavailable. Not thread safe.
class OperatorClient {
 public:
  explicit OperatorClient(OperatorClientOptions options);
  ~OperatorClient();
  OperatorClient(const OperatorClient&) = delete;
  OperatorClient& operator=(const OperatorClient&) = delete;

  /// Calls `path` and parses the answer into `answer`. Blocks until the call
  /// has ended. On failure, returns the error of the leader, or that of the
  /// last control VM tried.
  Result<void> Call(const std::string& path,
                    const google::protobuf::Message& request,
                    google::protobuf::Message* answer);

 private:
  struct Reply {
    int status = 0;
    std::string body;
  };
  Result<Reply> Post(const std::string& address, const std::string& path,
                     const std::string& body);

  OperatorClientOptions m_options;
  SoupSession* m_session;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORYCTL_OPERATOR_CLIENT_H_
