#include "chicoryctl/commands.h"

#include <glib.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <string_view>
#include <utility>

#include "adapters/key_file.h"
#include "chicoryctl/operator_client.h"
#include "chicoryctl/status_text.h"
#include "chicoryvale/operator.pb.h"
#include "endpoint/message_codec.h"
#include "endpoint/operator_request.h"
#include "schema/schema.h"

namespace chicoryvale {
namespace {

// A command under way: its words after the command's name, and its outputs.
class Session {
 public:
  Session(const CtlCall& call, std::vector<std::string> arguments,
          std::ostream& out, std::ostream& err)
      : m_call(call),
        m_arguments(std::move(arguments)),
        m_out(out),
        m_err(err) {}

  [[nodiscard]] const std::string& Argument(std::size_t i) const {
    return m_arguments[i];
  }
  std::ostream& Out() { return m_out; }
  [[nodiscard]] bool Json() const { return m_call.json; }

  ExitCode Fault(ExitCode code, const std::string& text) {
    m_err << text << "\n";
    return code;
  }

  ExitCode Fault(const Error& error) {
    m_err << PropertiesOf(error.kind).name << ": " << error.message
          << " (ran: " << RanName(error.ran) << ")\n";
    return ExitCode::kRunFailed;
  }

  // Calls an RPC and prints its answer, in JSON or by `print`.
  template <typename Answer>
  ExitCode Call(
      const std::string& path, const google::protobuf::Message& request,
      const std::function<void(const Answer&, std::ostream&)>& print) {
    Answer answer;
    if (auto ok = CallRpc(path, request, &answer); !ok) {
      return Fault(ok.error());
    }
    if (Json()) {
      m_out << SerializeBody(BodyCodec::kJson, answer) << "\n";
    } else {
      print(answer, m_out);
    }
    return ExitCode::kOk;
  }

  // Fills the header of a change and sends it.
  template <typename Request>
  ExitCode Change(const std::string& path, Request request) {
    v1::ChangeHeader* header = request.mutable_header();
    header->set_operation_id(m_call.operation_id.empty() ? NewOperationId()
                                                         : m_call.operation_id);
    if (m_call.expected_version) {
      header->set_expected_version(*m_call.expected_version);
    } else {
      v1::ClusterStatus status;
      if (auto ok =
              CallRpc(ClusterPath("Status"), v1::StatusRequest(), &status);
          !ok) {
        return Fault(ok.error());
      }
      header->set_expected_version(status.version());
    }
    return Call<v1::ChangeAccepted>(
        path, request,
        [](const v1::ChangeAccepted& accepted, std::ostream& out) {
          out << "accepted as version " << accepted.version() << "\n";
        });
  }

  static std::string ClusterPath(const std::string& method) {
    return "/" + std::string(kClusterService) + "/" + method;
  }

  static std::string ServicePath(const std::string& service,
                                 const std::string& method) {
    return "/" + service + std::string(kOperatorSuffix) + "/" + method;
  }

 private:
  static std::string NewOperationId() {
    gchar* uuid = g_uuid_string_random();
    std::string id = uuid;
    g_free(uuid);
    return id;
  }

  Result<void> CallRpc(const std::string& path,
                       const google::protobuf::Message& request,
                       google::protobuf::Message* answer) {
    const auto token = ReadSecretFile(m_call.token_file, kMinTokenBytes);
    if (!token) return tl::unexpected(token.error());
    OperatorClient client({m_call.control, *token, m_call.timeout_seconds});
    return client.Call(path, request, answer);
  }

  const CtlCall& m_call;
  std::vector<std::string> m_arguments;
  std::ostream& m_out;
  std::ostream& m_err;
};

bool ParseNumber(const std::string& text, std::uint64_t* value) {
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, *value);
  return error == std::errc() && end == last;
}

ExitCode CheckSchema(Session& session) {
  std::string text;
  if (!ReadFile(session.Argument(0), &text)) {
    return session.Fault(ExitCode::kBadSettings,
                         session.Argument(0) + " cannot be read");
  }
  const auto schema = Schema::Make(text);
  if (!schema) {
    return session.Fault(ExitCode::kBadSettings, schema.error().message);
  }
  for (const ServiceSchema& service : (*schema)->Services()) {
    session.Out() << service.name << ": " << service.shards << " shards, "
                  << service.methods.size() << " methods\n";
  }
  return ExitCode::kOk;
}

ExitCode ApplySchemaFile(Session& session) {
  v1::ApplySchemaRequest request;
  if (!ReadFile(session.Argument(0), request.mutable_schema_text())) {
    return session.Fault(ExitCode::kBadSettings,
                         session.Argument(0) + " cannot be read");
  }
  return session.Change(Session::ClusterPath("ApplySchema"), request);
}

ExitCode SetPlacementFromFile(Session& session) {
  std::string text;
  if (!ReadFile(session.Argument(1), &text)) {
    return session.Fault(ExitCode::kBadSettings,
                         session.Argument(1) + " cannot be read");
  }
  v1::SetPlacementRequest request;
  if (auto ok = ParseBody(BodyCodec::kJson, text, &request); !ok) {
    return session.Fault(ExitCode::kBadSettings, ok.error().message);
  }
  return session.Change(
      Session::ServicePath(session.Argument(0), "SetPlacement"), request);
}

ExitCode SetDraining(Session& session, bool draining) {
  v1::DrainReplicaRequest request;
  request.set_address(session.Argument(1));
  request.set_draining(draining);
  return session.Change(
      Session::ServicePath(session.Argument(0), "DrainReplica"), request);
}

ExitCode SetReplicaLimits(Session& session) {
  std::uint64_t slots = 0;
  std::uint64_t connections = 0;
  if (!ParseNumber(session.Argument(1), &slots) ||
      !ParseNumber(session.Argument(2), &connections)) {
    return session.Fault(ExitCode::kBadSettings,
                         "SLOTS and CONNECTIONS must be whole numbers");
  }
  v1::SetLimitsRequest request;
  request.mutable_limits()->set_slots(static_cast<std::uint32_t>(slots));
  request.mutable_limits()->set_connections(
      static_cast<std::uint32_t>(connections));
  return session.Change(Session::ServicePath(session.Argument(0), "SetLimits"),
                        request);
}

ExitCode PublishIndexVersion(Session& session) {
  v1::PublishIndexRequest request;
  std::uint64_t version = 0;
  if (!ParseNumber(session.Argument(1), &version)) {
    return session.Fault(ExitCode::kBadSettings,
                         "VERSION must be a whole number");
  }
  request.set_index_version(version);
  return session.Change(
      Session::ServicePath(session.Argument(0), "PublishIndex"), request);
}

ExitCode SetQuarantine(Session& session, bool release) {
  v1::QuarantineRequest request;
  std::uint64_t fingerprint = 0;
  if (!ParseNumber(session.Argument(1), &fingerprint)) {
    return session.Fault(ExitCode::kBadSettings,
                         "FINGERPRINT must be a whole number");
  }
  request.set_fingerprint(fingerprint);
  request.set_release(release);
  return session.Change(Session::ServicePath(session.Argument(0), "Quarantine"),
                        request);
}

ExitCode ShowStatus(Session& session) {
  return session.Call<v1::ClusterStatus>(
      Session::ClusterPath("Status"), v1::StatusRequest(), PrintClusterStatus);
}

ExitCode ShowRollout(Session& session) {
  return session.Call<v1::ClusterStatus>(Session::ClusterPath("Status"),
                                         v1::StatusRequest(), PrintRollout);
}

ExitCode ShowService(Session& session) {
  return session.Call<v1::ServiceStatus>(
      Session::ServicePath(session.Argument(0), "Status"), v1::StatusRequest(),
      PrintServiceStatus);
}

ExitCode ChangeGroup(Session& session, const std::string& remove,
                     const std::string& add) {
  v1::ChangeMemberRequest request;
  request.set_remove(remove);
  request.set_add(add);
  return session.Change(Session::ClusterPath("ChangeMember"), request);
}

struct Command {
  std::string_view group;
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  std::size_t argument_count;
  ExitCode (*run)(Session&);
};

constexpr std::array<Command, 14> kCommands = {{
    {"schema", "check", "FILE", "check a schema file offline", 1, CheckSchema},
    {"schema", "apply", "FILE", "put a schema file into force", 1,
     ApplySchemaFile},
    {"placement", "set", "SERVICE FILE", "set shards and replicas (JSON)", 2,
     SetPlacementFromFile},
    {"replica", "drain", "SERVICE ADDRESS", "give a replica no new work", 2,
     [](Session& session) { return SetDraining(session, true); }},
    {"replica", "undrain", "SERVICE ADDRESS", "take a replica back", 2,
     [](Session& session) { return SetDraining(session, false); }},
    {"limits", "set", "SERVICE SLOTS CONNECTIONS", "limits of each replica", 3,
     SetReplicaLimits},
    {"index", "publish", "SERVICE VERSION", "publish an index version", 2,
     PublishIndexVersion},
    {"quarantine", "add", "SERVICE FINGERPRINT", "refuse a request", 2,
     [](Session& session) { return SetQuarantine(session, false); }},
    {"quarantine", "release", "SERVICE FINGERPRINT", "admit it again", 2,
     [](Session& session) { return SetQuarantine(session, true); }},
    {"status", "", "", "version, leader and nodes", 0, ShowStatus},
    {"rollout", "", "", "which node has which version", 0, ShowRollout},
    {"service", "status", "SERVICE", "placement of a service", 1, ShowService},
    {"member", "add", "ADDRESS", "add a control VM", 1,
     [](Session& session) {
       return ChangeGroup(session, "", session.Argument(0));
     }},
    {"member", "remove", "ADDRESS", "remove a control VM", 1,
     [](Session& session) {
       return ChangeGroup(session, session.Argument(0), "");
     }},
}};

std::size_t NameWords(const Command& command) {
  return command.name.empty() ? 1 : 2;
}

bool Matches(const Command& command, const std::vector<std::string>& words) {
  const std::size_t name_words = NameWords(command);
  if (words.size() != name_words + command.argument_count) return false;
  if (words[0] != command.group) return false;
  return name_words == 1 || words[1] == command.name;
}

}  // namespace

ExitCode RunCommand(const CtlCall& call, std::ostream& out, std::ostream& err) {
  const auto command =
      std::ranges::find_if(kCommands, [&call](const Command& candidate) {
        return Matches(candidate, call.words);
      });
  if (command == kCommands.end()) {
    err << "unknown command, or wrong number of arguments; commands:\n"
        << CommandHelp();
    return ExitCode::kBadSettings;
  }
  const auto first =
      call.words.begin() + static_cast<std::ptrdiff_t>(NameWords(*command));
  Session session(call, {first, call.words.end()}, out, err);
  return command->run(session);
}

std::string CommandHelp() {
  std::string text;
  for (const Command& command : kCommands) {
    text += "  ";
    for (const std::string_view word :
         {command.group, command.name, command.arguments}) {
      if (word.empty()) continue;
      text += word;
      text += ' ';
    }
    text += "- ";
    text += command.help;
    text += '\n';
  }
  return text;
}

}  // namespace chicoryvale
