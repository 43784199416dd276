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

/// Where and how the operators' RPCs are called.
struct OperatorClientOptions {
  /// Addresses of the control VMs' operator listeners, tried in turn.
  std::vector<std::string> control;
  std::string token;
  std::uint32_t timeout_seconds = 5;
};

/// Calls the operators' RPCs of a control group. A change is sent again, with
/// the same operation id, to the next control VM when an answer is lost or the
/// VM is not the leader. Not thread safe.
class OperatorClient {
 public:
  explicit OperatorClient(OperatorClientOptions options);
  ~OperatorClient();
  OperatorClient(const OperatorClient&) = delete;
  OperatorClient& operator=(const OperatorClient&) = delete;

  /// Calls `path` and parses the answer into `answer`. Returns the error that
  /// the leader gave, or that of the last VM tried.
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
