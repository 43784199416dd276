#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace chicoryvale {
namespace {

/// When callers should come again to an entry that has just started: about the
/// time in which it learns the configuration.
constexpr Duration kRetryAfterStart = milliseconds(500);

}  // namespace

bool Router::SetConfig(std::shared_ptr<const RoutingConfig> config) {
  if (config->version <= ConfigVersion()) return false;
  m_table = std::make_unique<RouteTable>(std::move(config));
  m_splits.Reset();
  return true;
}

std::uint64_t Router::ConfigVersion() const {
  return m_table ? m_table->Config()->version : 0;
}

std::uint64_t Router::Handle(const RoutedRequest& request, Callback callback) {
  m_parts.counters->Add(RoutingCounter::kRequests);
  if (!m_table) {
    Refuse(request, RoutingCounter::kRefusedNoConfiguration,
           {ErrorKind::kNoConfiguration, "no configuration yet", Ran::kNo},
           kRetryAfterStart, callback);
    return 0;
  }
  const Route* route = m_table->Find(request.host, request.path);
  if (route == nullptr) {
    Refuse(request, RoutingCounter::kRefusedUnknownRoute,
           {ErrorKind::kUnknownEndpoint, "no route of this host and path",
            Ran::kNo},
           Duration::zero(), callback);
    return 0;
  }
  RoutedQuery::Question question;
  question.request = request.request;
  question.config = m_table->Config();
  question.route = route;
  question.services = route->IsScattered()
                          ? route->scatter.shards
                          : std::vector<std::string>{m_splits.Pick(*route)};
  question.time_limit =
      std::min(route->timeout, request.time_left.value_or(route->timeout));
  const std::uint64_t number = ++m_last_query;
  auto query = std::make_unique<RoutedQuery>(
      m_parts, std::move(question),
      [this, number, callback = std::move(callback)](RoutedAnswer answer) {
        // The query is destroyed after its own call has returned.
        auto node = m_queries.extract(number);
        if (!node.empty()) {
          m_parts.scheduler->Schedule(Duration::zero(),
                                      [ended = std::shared_ptr<RoutedQuery>(
                                           std::move(node.mapped()))] {});
        }
        callback(std::move(answer));
      });
  RoutedQuery* started = query.get();
  m_queries.emplace(number, std::move(query));
  started->Start();
  return m_queries.contains(number) ? number : 0;
}

void Router::CancelOnDisconnect(std::uint64_t query) {
  const auto node = m_queries.extract(query);
  if (!node.empty()) node.mapped()->CancelOnDisconnect();
}

void Router::Refuse(const RoutedRequest& request, RoutingCounter counter,
                    const Error& error, Duration retry_after,
                    const Callback& callback) {
  m_parts.counters->Add(counter);
  m_parts.log->Write(LogLevel::kWarning, "request_refused",
                     {{"id", request.request->id},
                      {"host", request.host},
                      {"path", request.path},
                      {"config_version", std::to_string(ConfigVersion())},
                      {"reason", std::string(AnswerFor(error.kind).name)}});
  RoutedAnswer answer;
  answer.error = error;
  answer.retry_after = retry_after;
  callback(std::move(answer));
}

}  // namespace chicoryvale
