#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace chicoryvale {
namespace {

/// Time after which callers should retry if this entry has just started: about
/// the time that it needs to receive the configuration.
constexpr Duration kRetryAfterStart = milliseconds(500);

}  // namespace

bool Router::SetConfig(std::shared_ptr<const RoutingConfig> config) {
  if (config->version <= ConfigVersion()) return false;
  m_table = std::make_unique<RouteTable>(std::move(config));
  m_split_picker.Reset();
  return true;
}

std::uint64_t Router::ConfigVersion() const {
  return m_table ? m_table->Config()->version : 0;
}

std::uint64_t Router::Handle(const RoutedRequest& request, Callback callback) {
  m_context.counters->Add(RoutingCounter::kRequests);
  if (!m_table) {
    Refuse(request, RoutingCounter::kRefusedNoConfiguration,
           {ErrorKind::kNoConfiguration,
            "no configuration has been received yet", Ran::kNo},
           kRetryAfterStart, callback);
    return 0;
  }
  const Route* route = m_table->Find(request.host, request.path);
  if (route == nullptr) {
    Refuse(request, RoutingCounter::kRefusedUnknownRoute,
           {ErrorKind::kUnknownEndpoint, "no route matches this host and path",
            Ran::kNo},
           Duration::zero(), callback);
    return 0;
  }
  RoutedQuery::Input input;
  input.request = request.request;
  input.config = m_table->Config();
  input.route = route;
  input.services = route->IsScattered()
                       ? route->scatter.shards
                       : std::vector<std::string>{m_split_picker.Pick(*route)};
  input.time_limit =
      std::min(route->timeout, request.time_left.value_or(route->timeout));
  const std::uint64_t number = ++m_last_query_number;
  auto query = std::make_unique<RoutedQuery>(
      m_context, std::move(input),
      [this, number, callback = std::move(callback)](RoutedAnswer answer) {
        // The query is destroyed after its current call has returned.
        auto node = m_queries.extract(number);
        if (!node.empty()) {
          m_context.scheduler->Schedule(Duration::zero(),
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
  m_context.counters->Add(counter);
  m_context.log->Write(
      LogLevel::kWarning, "request_refused",
      {{"id", request.request->id},
       {"host", request.host},
       {"path", request.path},
       {"config_version", std::to_string(ConfigVersion())},
       {"reason", std::string(PropertiesOf(error.kind).name)}});
  RoutedAnswer answer;
  answer.error = error;
  answer.retry_after = retry_after;
  callback(std::move(answer));
}

}  // namespace chicoryvale
