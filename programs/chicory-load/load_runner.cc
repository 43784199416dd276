#include "chicory-load/load_runner.h"

#include <charconv>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "claims/request_id.h"
#include "endpoint/caller_endpoint.h"
#include "ports/upstream_protocol.h"

namespace chicoryvale {
namespace {

/// Time after its deadline at which a call without an answer is cancelled and
/// counted as "no_answer".
constexpr Duration kAnswerGracePeriod = seconds(5);
constexpr char kNoAnswer[] = "no_answer";

void ReadCoverage(SoupMessage* message, CallResult* result) {
  const char* text = soup_message_headers_get_one(
      soup_message_get_response_headers(message), kHeaderCoverage);
  if (text == nullptr) return;
  const std::string_view view(text);
  const auto slash = view.find('/');
  if (slash == std::string_view::npos) return;
  const char* end = view.data() + view.size();
  std::from_chars(view.data(), view.data() + slash, result->shards_covered);
  std::from_chars(view.data() + slash + 1, end, result->shards_asked);
}

void ReadError(GBytes* body, CallResult* result) {
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(body, &size));
  const auto json = nlohmann::json::parse(data, data + size, nullptr, false);
  result->error_kind = "unreadable_error";
  if (!json.is_object()) return;
  const auto text = [&json](const char* key) {
    const auto found = json.find(key);
    return found != json.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
  };
  if (const std::string kind = text("kind"); !kind.empty()) {
    result->error_kind = kind;
  }
  result->ran = text("ran");
  const auto coverage = json.find("coverage");
  if (coverage == json.end() || !coverage->is_object()) return;
  result->shards_covered = coverage->value("covered", std::uint64_t{0});
  result->shards_asked = coverage->value("asked", std::uint64_t{0});
}

std::uint64_t UnixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

struct LoadRunner::Call {
  LoadRunner* runner = nullptr;
  std::size_t stream = 0;
  TimePoint due{};
  SoupMessage* message = nullptr;
  GCancellable* cancellable = nullptr;
  TimerId cancel_timer = 0;
};

LoadRunner::LoadRunner(LoadPlan plan)
    : m_plan(std::move(plan)),
      m_random(m_plan.seed),
      m_results(m_plan.streams.size()) {
  const auto connections = static_cast<int>(m_plan.connections_per_entry);
  for (std::size_t i = 0; i < m_plan.entries.size(); ++i) {
    SoupSession* session = soup_session_new_with_options(
        "max-conns", connections, "max-conns-per-host", connections, nullptr);
    soup_session_set_proxy_resolver(session, nullptr);
    m_sessions.push_back(session);
  }
}

LoadRunner::~LoadRunner() {
  for (SoupSession* session : m_sessions) g_object_unref(session);
}

void LoadRunner::Run() {
  m_start = m_scheduler.Now();
  m_active_streams = m_plan.streams.size();
  for (std::size_t i = 0; i < m_plan.streams.size(); ++i) {
    ScheduleArrival(i, m_start);
  }
  while (m_active_streams > 0 || m_in_flight > 0) {
    g_main_context_iteration(nullptr, TRUE);
  }
  m_elapsed = m_scheduler.Now() - m_start;
}

void LoadRunner::ScheduleArrival(std::size_t stream, TimePoint after) {
  std::exponential_distribution<double> gap(m_plan.streams[stream].rate);
  const TimePoint due =
      after + std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(gap(m_random)));
  if (due > m_start + m_plan.duration || m_arrivals >= m_plan.max_requests) {
    --m_active_streams;
    return;
  }
  ++m_arrivals;
  m_scheduler.Schedule(due - m_scheduler.Now(),
                       [this, stream, due] { StartCall(stream, due); });
}

void LoadRunner::StartCall(std::size_t stream, TimePoint due) {
  // Schedules the next arrival relative to the time at which this one was due,
  // so that delays of this process do not reduce the load.
  ScheduleArrival(stream, due);
  if (m_in_flight >= m_plan.max_in_flight) {
    m_results[stream].AddUnsent();
    return;
  }
  ++m_in_flight;
  const std::size_t entry = m_next_entry++ % m_sessions.size();
  auto* call = new Call{this, stream, due};
  call->message = MakeMessage(m_plan.streams[stream], entry);
  call->cancellable = g_cancellable_new();
  call->cancel_timer =
      m_scheduler.Schedule(m_plan.streams[stream].deadline + kAnswerGracePeriod,
                           [call] { g_cancellable_cancel(call->cancellable); });
  soup_session_send_and_read_async(m_sessions[entry], call->message,
                                   G_PRIORITY_DEFAULT, call->cancellable,
                                   &OnAnswer, call);
}

SoupMessage* LoadRunner::MakeMessage(const CallStream& stream,
                                     std::size_t entry) {
  const std::string url =
      "http://" + m_plan.entries[entry].host_port + stream.path;
  SoupMessage* message = soup_message_new("POST", url.c_str());
  // Allows libsoup to reuse connections. It does not resend a POST.
  soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
  SoupMessageHeaders* headers = soup_message_get_request_headers(message);
  soup_message_headers_append(headers, kHeaderWorkspace,
                              stream.workspace.c_str());
  const auto deadline =
      std::chrono::duration_cast<milliseconds>(stream.deadline).count();
  soup_message_headers_append(headers, kHeaderDeadlineMs,
                              std::to_string(deadline).c_str());
  if (stream.request_ids) {
    const RequestId id = MakeRequestId(UnixMs(), &m_random);
    soup_message_headers_append(headers, kHeaderRequestId,
                                FormatRequestId(id).c_str());
  }
  GBytes* body = g_bytes_new(stream.body.data(), stream.body.size());
  soup_message_set_request_body_from_bytes(message, kJsonContentType, body);
  g_bytes_unref(body);
  return message;
}

void LoadRunner::OnAnswer(GObject* session, GAsyncResult* result,
                          gpointer data) {
  const std::unique_ptr<Call> call(static_cast<Call*>(data));
  LoadRunner* runner = call->runner;
  runner->m_scheduler.Cancel(call->cancel_timer);
  CallResult call_result;
  call_result.latency = runner->m_scheduler.Now() - call->due;
  GBytes* body =
      soup_session_send_and_read_finish(SOUP_SESSION(session), result, nullptr);
  if (body == nullptr) {
    call_result.error_kind = kNoAnswer;
  } else if (soup_message_get_status(call->message) != SOUP_STATUS_OK) {
    ReadError(body, &call_result);
  } else {
    ReadCoverage(call->message, &call_result);
  }
  g_clear_pointer(&body, g_bytes_unref);
  g_object_unref(call->message);
  g_object_unref(call->cancellable);
  runner->m_results[call->stream].Add(call_result);
  --runner->m_in_flight;
}

}  // namespace chicoryvale
