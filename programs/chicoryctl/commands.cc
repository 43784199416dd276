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

// Context of one execution of a command: its arguments, without the words of
// the command's name, and its output streams.
class CommandContext {
 public:
  CommandContext(const CtlInvocation& invocation,
                 std::vector<std::string> arguments, std::ostream& out,
                 std::ostream& err)
      : m_invocation(invocation),
        m_arguments(std::move(arguments)),
        m_out(out),
        m_err(err) {}

  [[nodiscard]] const std::string& Argument(std::size_t i) const {
    return m_arguments[i];
  }
  std::ostream& Out() { return m_out; }
  [[nodiscard]] bool PrintsJson() const { return m_invocation.json; }

  // Prints an error and returns the exit code.
  ExitCode Fail(ExitCode code, const std::string& text) {
    m_err << text << "\n";
    return code;
  }

  ExitCode Fail(const Error& error) {
    m_err << PropertiesOf(error.kind).name << ": " << error.message
          << " (ran: " << RanName(error.ran) << ")\n";
    return ExitCode::kRunFailed;
  }

  // Calls an RPC and prints its answer, as JSON or with `print`.
  template <typename Answer>
  ExitCode Call(
      const std::string& path, const google::protobuf::Message& request,
      const std::function<void(const Answer&, std::ostream&)>& print) {
    Answer answer;
    if (auto ok = CallRpc(path, request, &answer); !ok) {
      return Fail(ok.error());
    }
    if (PrintsJson()) {
      m_out << SerializeBody(BodyCodec::kJson, answer) << "\n";
    } else {
      print(answer, m_out);
    }
    return ExitCode::kOk;
  }

  // Fills in the header of a change and sends the change.
  template <typename Request>
  ExitCode Change(const std::string& path, Request request) {
    v1::ChangeHeader* header = request.mutable_header();
    header->set_operation_id(m_invocation.operation_id.empty()
                                 ? NewOperationId()
                                 : m_invocation.operation_id);
    if (m_invocation.expected_version) {
      header->set_expected_version(*m_invocation.expected_version);
    } else {
      v1::ClusterStatus status;
      if (auto ok =
              CallRpc(ClusterPath("Status"), v1::StatusRequest(), &status);
          !ok) {
        return Fail(ok.error());
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
    const auto token = ReadSecretFile(m_invocation.token_file, kMinTokenBytes);
    if (!token) return tl::unexpected(token.error());
    OperatorClient client(
        {m_invocation.control, *token, m_invocation.timeout_seconds});
    return client.Call(path, request, answer);
  }

  const CtlInvocation& m_invocation;
  std::vector<std::string> m_arguments;
  std::ostream& m_out;
  std::ostream& m_err;
};

bool ParseNumber(const std::string& text, std::uint64_t* value) {
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, *value);
  return error == std::errc() && end == last;
}

ExitCode CheckSchema(CommandContext& context) {
  std::string text;
  if (!ReadFile(context.Argument(0), &text)) {
    return context.Fail(ExitCode::kBadSettings,
                        context.Argument(0) + " cannot be read");
  }
  const auto schema = Schema::Make(text);
  if (!schema) {
    return context.Fail(ExitCode::kBadSettings, schema.error().message);
  }
  for (const ServiceSchema& service : (*schema)->Services()) {
    context.Out() << service.name << ": " << service.shards << " shards, "
                  << service.methods.size() << " methods\n";
  }
  return ExitCode::kOk;
}

ExitCode ApplySchemaFile(CommandContext& context) {
  v1::ApplySchemaRequest request;
  if (!ReadFile(context.Argument(0), request.mutable_schema_text())) {
    return context.Fail(ExitCode::kBadSettings,
                        context.Argument(0) + " cannot be read");
  }
  return context.Change(CommandContext::ClusterPath("ApplySchema"), request);
}

ExitCode SetPlacementFromFile(CommandContext& context) {
  std::string text;
  if (!ReadFile(context.Argument(1), &text)) {
    return context.Fail(ExitCode::kBadSettings,
                        context.Argument(1) + " cannot be read");
  }
  v1::SetPlacementRequest request;
  if (auto ok = ParseBody(BodyCodec::kJson, text, &request); !ok) {
    return context.Fail(ExitCode::kBadSettings, ok.error().message);
  }
  return context.Change(
      CommandContext::ServicePath(context.Argument(0), "SetPlacement"),
      request);
}

ExitCode SetDraining(CommandContext& context, bool draining) {
  v1::DrainReplicaRequest request;
  request.set_address(context.Argument(1));
  request.set_draining(draining);
  return context.Change(
      CommandContext::ServicePath(context.Argument(0), "DrainReplica"),
      request);
}

ExitCode SetReplicaLimits(CommandContext& context) {
  std::uint64_t slots = 0;
  std::uint64_t connections = 0;
  if (!ParseNumber(context.Argument(1), &slots) ||
      !ParseNumber(context.Argument(2), &connections)) {
    return context.Fail(ExitCode::kBadSettings,
                        "SLOTS and CONNECTIONS must be whole numbers");
  }
  v1::SetLimitsRequest request;
  request.mutable_limits()->set_slots(static_cast<std::uint32_t>(slots));
  request.mutable_limits()->set_connections(
      static_cast<std::uint32_t>(connections));
  return context.Change(
      CommandContext::ServicePath(context.Argument(0), "SetLimits"), request);
}

ExitCode PublishIndexVersion(CommandContext& context) {
  v1::PublishIndexRequest request;
  std::uint64_t version = 0;
  if (!ParseNumber(context.Argument(1), &version)) {
    return context.Fail(ExitCode::kBadSettings,
                        "VERSION must be a whole number");
  }
  request.set_index_version(version);
  return context.Change(
      CommandContext::ServicePath(context.Argument(0), "PublishIndex"),
      request);
}

ExitCode SetQuarantine(CommandContext& context, bool release) {
  v1::QuarantineRequest request;
  std::uint64_t fingerprint = 0;
  if (!ParseNumber(context.Argument(1), &fingerprint)) {
    return context.Fail(ExitCode::kBadSettings,
                        "FINGERPRINT must be a whole number");
  }
  request.set_fingerprint(fingerprint);
  request.set_release(release);
  return context.Change(
      CommandContext::ServicePath(context.Argument(0), "Quarantine"), request);
}

ExitCode ShowStatus(CommandContext& context) {
  return context.Call<v1::ClusterStatus>(CommandContext::ClusterPath("Status"),
                                         v1::StatusRequest(),
                                         PrintClusterStatus);
}

ExitCode ShowRollout(CommandContext& context) {
  return context.Call<v1::ClusterStatus>(CommandContext::ClusterPath("Status"),
                                         v1::StatusRequest(), PrintRollout);
}

ExitCode ShowService(CommandContext& context) {
  return context.Call<v1::ServiceStatus>(
      CommandContext::ServicePath(context.Argument(0), "Status"),
      v1::StatusRequest(), PrintServiceStatus);
}

ExitCode ChangeGroupMember(CommandContext& context, const std::string& remove,
                           const std::string& add) {
  v1::ChangeMemberRequest request;
  request.set_remove(remove);
  request.set_add(add);
  return context.Change(CommandContext::ClusterPath("ChangeMember"), request);
}

struct Command {
  std::string_view group;
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  std::size_t argument_count;
  ExitCode (*run)(CommandContext&);
};

constexpr std::array<Command, 14> kCommands = {{
    {"schema", "check", "FILE", "check a schema file offline", 1, CheckSchema},
    {"schema", "apply", "FILE", "put a schema file into force", 1,
     ApplySchemaFile},
    {"placement", "set", "SERVICE FILE", "set shards and replicas (JSON)", 2,
     SetPlacementFromFile},
    {"replica", "drain", "SERVICE ADDRESS", "give a replica no new work", 2,
     [](CommandContext& context) { return SetDraining(context, true); }},
    {"replica", "undrain", "SERVICE ADDRESS", "take a replica back", 2,
     [](CommandContext& context) { return SetDraining(context, false); }},
    {"limits", "set", "SERVICE SLOTS CONNECTIONS", "limits of each replica", 3,
     SetReplicaLimits},
    {"index", "publish", "SERVICE VERSION", "publish an index version", 2,
     PublishIndexVersion},
    {"quarantine", "add", "SERVICE FINGERPRINT", "refuse a request", 2,
     [](CommandContext& context) { return SetQuarantine(context, false); }},
    {"quarantine", "release", "SERVICE FINGERPRINT", "admit it again", 2,
     [](CommandContext& context) { return SetQuarantine(context, true); }},
    {"status", "", "", "version, leader and nodes", 0, ShowStatus},
    {"rollout", "", "", "which node has which version", 0, ShowRollout},
    {"service", "status", "SERVICE", "placement of a service", 1, ShowService},
    {"member", "add", "ADDRESS", "add a control VM", 1,
     [](CommandContext& context) {
       return ChangeGroupMember(context, "", context.Argument(0));
     }},
    {"member", "remove", "ADDRESS", "remove a control VM", 1,
     [](CommandContext& context) {
       return ChangeGroupMember(context, context.Argument(0), "");
     }},
}};

std::size_t NameWordCount(const Command& command) {
  return command.name.empty() ? 1 : 2;
}

bool Matches(const Command& command, const std::vector<std::string>& words) {
  const std::size_t name_word_count = NameWordCount(command);
  if (words.size() != name_word_count + command.argument_count) return false;
  if (words[0] != command.group) return false;
  return name_word_count == 1 || words[1] == command.name;
}

}  // namespace

ExitCode RunCommand(const CtlInvocation& invocation, std::ostream& out,
                    std::ostream& err) {
  const auto command =
      std::ranges::find_if(kCommands, [&invocation](const Command& candidate) {
        return Matches(candidate, invocation.words);
      });
  if (command == kCommands.end()) {
    err << "unknown command, or wrong number of arguments; commands:\n"
        << CommandHelp();
    return ExitCode::kBadSettings;
  }
  const auto first = invocation.words.begin() +
                     static_cast<std::ptrdiff_t>(NameWordCount(*command));
  CommandContext context(invocation, {first, invocation.words.end()}, out, err);
  return command->run(context);
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
