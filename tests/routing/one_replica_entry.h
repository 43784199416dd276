#ifndef CHICORYVALE_TESTS_ROUTING_ONE_REPLICA_ENTRY_H_
#define CHICORYVALE_TESTS_ROUTING_ONE_REPLICA_ENTRY_H_

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "fakes/open_freshness.h"
#include "routing/test_entry.h"

namespace chicoryvale {

/// An entry on virtual time, and one replica of the service "one" that answers
/// in 10 ms.
class OneReplicaEntryTest : public testing::Test {
 protected:
  OneReplicaEntryTest() {
    MakeRouter();
    ListedReplica replica;
    replica.id = "one-a";
    replica.service = "one";
    replica.address = {"10.0.0.1:80"};
    replica.availability_zone = "z";
    replica.slots = 2;
    m_entry.pool.SetReplicas({replica}, m_scheduler.Now());
    m_entry.transport.SetBehaviour([](const ReplicaSend& send) {
      return ReplicaBehaviour{milliseconds(10), SignedAnswer(send.replica_id),
                              false};
    });
  }

  /// Makes the router anew, with the context of the entry as it is now.
  void MakeRouter() {
    m_entry.guarded_router =
        std::make_unique<Router>(m_entry.context, 5, &m_freshness);
  }

  static Route RouteToOne(const std::string& path_prefix) {
    Route route = ScatteredRoute();
    route.path_prefix = path_prefix;
    route.scatter = {};
    route.services = {{"one", 1}};
    return route;
  }

  /// Puts `config` in force as the next version.
  void SetConfig(RoutingConfig config) {
    config.version = ++m_version;
    GuardedRouter().SetConfig(
        std::make_shared<const RoutingConfig>(std::move(config)));
  }

  Router& GuardedRouter() { return *m_entry.guarded_router; }

  std::uint64_t Send(const std::string& path, const std::string& key = "") {
    auto request = std::make_shared<OpaqueRequest>();
    request->id = "id";
    request->method = "GET";
    request->target = path;
    RoutedRequest routed{request, "h", path, milliseconds(400), key, {}};
    if (!key.empty()) routed.identity_headers = {{"Key", key}};
    m_answer.reset();
    return GuardedRouter().Handle(
        routed, [this](RoutedAnswer answer) { m_answer = std::move(answer); });
  }

  /// Decides for the requests that wait whether the configuration is current.
  void Confirm(bool is_current) {
    for (auto& callback : std::exchange(m_freshness.pending, {})) {
      callback(is_current);
    }
  }

  void ExpectRefused(ErrorKind kind) const {
    ASSERT_TRUE(m_answer && m_answer->error);
    EXPECT_EQ(m_answer->error->kind, kind);
    EXPECT_EQ(m_answer->error->ran, Ran::kNo);
  }

  void ExpectRefusedUnsent(ErrorKind kind) const {
    ExpectRefused(kind);
    EXPECT_TRUE(m_entry.transport.Sends().empty());
  }

  FakeScheduler m_scheduler;
  FakeNetwork m_network{&m_scheduler, 1};
  MemberInfo m_self{"self", {"10.0.0.9:1"}, "z", MemberRole::kEntry};
  TestEntry m_entry{&m_scheduler, &m_network, m_self, {{m_self}}};
  OpenFreshness m_freshness;
  std::uint64_t m_version = 0;
  std::optional<RoutedAnswer> m_answer;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_ROUTING_ONE_REPLICA_ENTRY_H_
