#ifndef CHICORYVALE_SRC_ROUTING_ROUTER_H_
#define CHICORYVALE_SRC_ROUTING_ROUTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/counters.h"
#include "ports/config_freshness.h"
#include "routing/request_admission.h"
#include "routing/route_table.h"
#include "routing/routed_query.h"
#include "routing/split_picker.h"

namespace chicoryvale {

/// A caller's request and what determines its route and time limit.
struct RoutedRequest {
  std::shared_ptr<const OpaqueRequest> request;
  std::string host;
  std::string path;
  /// Time that the caller waits for the answer; absent if not stated.
  std::optional<Duration> time_left;
  /// Key of the caller's workspace; empty if there is none, or more than one.
  std::string key{};
  /// Headers of the caller that concern its workspace. They are not part of
  /// `request` and are forwarded only if the configuration has no workspaces.
  std::vector<HttpHeader> identity_headers{};
};

/// Handles the requests of callers: finds the route and the workspace, takes a
/// token of its quota, picks the service, and runs a query. Scattered requests
/// are first admitted by RequestAdmission; if a ZoneAdmission is set and the
/// configuration has workspaces, it admits all requests instead. Not thread
/// safe.
class Router {
 public:
  using Callback = std::function<void(RoutedAnswer answer)>;

  /// `freshness` must outlive the router. It is asked before a request without
  /// a route or with an unknown key is refused as such; without it, the
  /// configuration counts as current.
  Router(const RoutingContext& context, std::uint64_t seed,
         ConfigFreshness* freshness = nullptr)
      : m_context(context),
        m_random(seed),
        m_split_picker(seed),
        m_freshness(freshness) {}

  /// Applies `config` to the requests that follow. Returns false, without
  /// effect, if its version is not higher than the current one.
  bool SetConfig(std::shared_ptr<const RoutingConfig> config);

  [[nodiscard]] std::uint64_t ConfigVersion() const;

  /// Handles a request. Calls `callback` once, unless the query is cancelled.
  /// Returns the number of the query, or 0 if it has already ended.
  std::uint64_t Handle(const RoutedRequest& request, Callback callback);

  /// Announces that the process stops. Requests from now on get a final answer
  /// by `end`; a request for which that is too soon is refused, as it has not
  /// run and another entry can serve it. Requests in flight continue.
  void BeginStop(TimePoint end);

  /// Ends all requests with a final answer: what is known so far, or whether
  /// they may have run.
  void EndAll();

  /// Ends a query without an answer because its caller has disconnected. Does
  /// nothing if the query has ended.
  void CancelOnDisconnect(std::uint64_t query);

  /// Returns the number of requests that have not been answered.
  [[nodiscard]] std::size_t InFlight() const {
    return m_queries.size() + m_waiting.size() + m_unmatched.size() +
           m_awaiting_quota.size();
  }

 private:
  /// The service of the first shard of a scattered request. Routes whose shards
  /// begin with the same one share the limit of requests in flight.
  using ShardSet = std::string;

  /// A request that waits for its admission.
  struct WaitingRequest {
    RoutedRequest request;
    RoutedQuery::Input input;
    Callback callback;
    TimePoint received_at{};
    std::uint32_t priority = 0;
  };

  /// A request without a route, or with an unknown key, that waits until the
  /// configuration is confirmed.
  struct UnmatchedRequest {
    RoutedRequest request;
    Callback callback;
    TimePoint received_at{};
  };

  /// What the configuration says about a request.
  struct Match {
    const Route* route = nullptr;
    /// Workspace of the caller; null if its key is unknown or not needed.
    const Workspace* workspace = nullptr;
    /// Whether the request lacks a key that it needs.
    bool lacks_key = false;

    [[nodiscard]] bool IsServed() const {
      return route != nullptr && !lacks_key;
    }
  };

  [[nodiscard]] Match FindMatch(const RoutedRequest& request) const;
  /// Returns the request that replicas get.
  [[nodiscard]] std::shared_ptr<const OpaqueRequest> Forwarded(
      const RoutedRequest& request, const Workspace* workspace) const;
  /// A request that waits for a token of its workspace's quota.
  struct RequestAwaitingQuota {
    RoutedRequest request;
    Callback callback;
    TimePoint received_at{};
  };

  /// Handles request `number` according to `match`, or refuses it.
  void Dispatch(std::uint64_t number, const RoutedRequest& request,
                const Match& match, Callback callback);
  void AwaitQuota(std::uint64_t number, const RoutedRequest& request,
                  const Workspace& workspace, Callback callback);
  void OnQuotaDecision(std::uint64_t number, const std::string& workspace,
                       const QuotaDecision& decision);
  void RefuseByQuota(const RequestAwaitingQuota& waited,
                     const QuotaDecision& decision);
  /// Gives back the token of a request that was not sent.
  void GiveBackToken(const OpaqueRequest& request);
  /// Starts request `number`, which is within its quota.
  void StartMatched(std::uint64_t number, const RoutedRequest& request,
                    const Match& match, TimePoint received_at,
                    Callback callback);
  void AwaitFreshness(std::uint64_t number, const RoutedRequest& request,
                      Callback callback);
  void OnFreshness(std::uint64_t number, bool is_current);
  void RefuseUnmatched(const UnmatchedRequest& unmatched, const Match& match);
  void RefuseUnconfirmed(const RoutedRequest& request,
                         const Callback& callback);
  /// Returns whether the key of a request still belongs to the workspace for
  /// which the request was dispatched.
  [[nodiscard]] bool IsStillAuthorized(const WaitingRequest& waiting) const;
  [[nodiscard]] bool IsOpen(std::uint64_t number) const;
  [[nodiscard]] bool MayEndInTime(const Route& route) const;
  Duration SpreadRetryAfter(Duration retry_after);
  RequestAdmission& AdmissionOf(const Route& route);
  /// Returns whether all entries of the zone share the admission of requests.
  [[nodiscard]] bool SharesAdmission() const;
  void SubmitToZone(std::uint64_t number, WaitingRequest waiting);
  void SubmitScattered(std::uint64_t number, WaitingRequest waiting);
  void StartAdmitted(std::uint64_t number);
  void RefuseWaiting(std::uint64_t number, Duration retry_after);
  void FinishAdmitted(const ShardSet& shards, std::uint64_t number,
                      AdmittedOutcome outcome);
  /// Ends the admission of a request without an outcome, or removes a request
  /// that waits for it.
  void CancelAdmission(std::uint64_t number);
  void StartQuery(std::uint64_t number, RoutedQuery::Input input,
                  Callback callback);
  /// Returns the name of the caller's workspace; empty if it has none.
  [[nodiscard]] std::string WorkspaceName(const RoutedRequest& request) const;
  void Refuse(const RoutedRequest& request, RoutingCounter counter,
              const Error& error, Duration retry_after,
              const Callback& callback);

  RoutingContext m_context;
  std::mt19937_64 m_random;
  SplitPicker m_split_picker;
  ConfigFreshness* m_freshness;
  std::unique_ptr<RouteTable> m_table;
  std::uint64_t m_last_query_number = 0;
  /// When all requests have to be answered because the process stops.
  std::optional<TimePoint> m_end;
  std::map<ShardSet, std::unique_ptr<RequestAdmission>> m_admissions;
  std::unordered_map<std::uint64_t, UnmatchedRequest> m_unmatched;
  std::unordered_map<std::uint64_t, RequestAwaitingQuota> m_awaiting_quota;
  std::unordered_map<std::uint64_t, WaitingRequest> m_waiting;
  std::unordered_map<std::uint64_t, std::unique_ptr<RoutedQuery>> m_queries;
  /// Expires with this object, so that later callbacks do nothing.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_ROUTER_H_
