#ifndef CHICORYVALE_SRC_ENDPOINT_OPERATOR_ENDPOINT_H_
#define CHICORYVALE_SRC_ENDPOINT_OPERATOR_ENDPOINT_H_

#include <string>

#include "base/counters.h"
#include "endpoint/error_counters.h"
#include "endpoint/operator_request.h"
#include "ports/control_group.h"
#include "ports/http.h"

namespace chicoryvale {

/// Serves the RPCs for operators on a control VM. Each request must carry the
/// operator token as "Authorization: Bearer TOKEN". Not thread safe: used only
/// on the event loop.
class OperatorEndpoint {
 public:
  /// `group` must outlive the endpoint. `token` must not be empty.
  OperatorEndpoint(ControlGroup* group, std::string token);

  /// Refuses all further requests with kShuttingDown.
  void StopAccepting() { m_accepting = false; }

  /// Answers `request` through `respond`, once.
  void Handle(const HttpRequest& request, HttpResponder respond);

  /// Number of requests answered with an error, by error kind.
  [[nodiscard]] const CounterSet<ErrorKind>& Errors() const { return m_errors; }

 private:
  [[nodiscard]] Result<OperatorRequest> AuthorizeAndParse(
      const HttpRequest& request) const;
  void Dispatch(const OperatorRequest& request, HttpResponder respond);
  void ProposeChange(const OperatorRequest& request, HttpResponder respond);
  void ChangeMember(const OperatorRequest& request, HttpResponder respond);
  void AnswerClusterStatus(BodyCodec codec, HttpResponder respond);
  void AnswerServiceStatus(const OperatorRequest& request,
                           HttpResponder respond);
  void SendError(const Error& error, const HttpResponder& respond);

  ControlGroup* m_group;
  std::string m_token;
  bool m_accepting = true;
  CounterSet<ErrorKind> m_errors;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ENDPOINT_OPERATOR_ENDPOINT_H_
