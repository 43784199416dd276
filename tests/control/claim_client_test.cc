#include "control/claim_client.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/codec.h"
#include "claims/claim_table.h"
#include "control/claim_messages.h"
#include "fakes/fake_scheduler.h"

namespace chicoryvale {
namespace {

// How a control VM reacts to a call.
enum class Behaviour : std::uint8_t {
  kCommits,
  kCommitsButLosesAnswer,
  kNotLeader,
  kNoQuorum,
  kUnreachable,
  kNoAnswer,
  kMalformedAnswer,
};

// Control VMs that share one claim table.
class FakeControl : public PeerTransport {
 public:
  FakeControl(FakeScheduler* scheduler, std::vector<Behaviour> behaviours)
      : m_behaviours(std::move(behaviours)), m_scheduler(scheduler) {}

  std::vector<Behaviour> m_behaviours;
  int m_calls = 0;
  int m_committed = 0;

 protected:
  void OnCall(const Address& to, PeerChannel, std::string request,
              Duration timeout, Callback callback) override {
    ++m_calls;
    const auto vm = static_cast<std::size_t>(to.host_port.back() - '0');
    const Behaviour behaviour = m_behaviours[vm];
    const Duration delay =
        behaviour == Behaviour::kNoAnswer ||
                behaviour == Behaviour::kCommitsButLosesAnswer
            ? timeout
            : milliseconds(1);
    m_scheduler->Schedule(
        delay, [answer = Answer(behaviour, request),
                callback = std::move(callback)] { callback(answer); });
  }

  void OnSetHandler(PeerChannel, Handler) override {}

 private:
  Result<std::string> Answer(Behaviour behaviour, const std::string& request) {
    switch (behaviour) {
      case Behaviour::kCommits:
        return Commit(request);
      case Behaviour::kCommitsButLosesAnswer:
        Commit(request);
        return MakeError(ErrorKind::kDeadlineExceeded, "lost");
      case Behaviour::kNotLeader:
        return Refuse(ErrorKind::kNotLeader);
      case Behaviour::kNoQuorum:
        return Refuse(ErrorKind::kNoQuorum);
      case Behaviour::kUnreachable:
        return MakeError(ErrorKind::kUpstreamUnavailable, "refused");
      case Behaviour::kNoAnswer:
        return MakeError(ErrorKind::kDeadlineExceeded, "silent");
      case Behaviour::kMalformedAnswer:
        return std::string("garbled");
    }
    return {};
  }

  static std::string Refuse(ErrorKind kind) {
    ClaimReply reply;
    reply.error = static_cast<std::uint8_t>(kind);
    return Encode(reply);
  }

  std::string Commit(const std::string& request) {
    ClaimCommand command;
    EXPECT_TRUE(DecodeClaim(request, &command));
    command.leader_unix_ms = command.request_id.UnixMs();
    ClaimReply reply;
    reply.has_result = true;
    reply.result = m_table.Apply(command);
    ++m_committed;
    return Encode(reply);
  }

  FakeScheduler* m_scheduler;
  ClaimTable m_table;
};

class ClaimClientTest : public testing::Test {
 protected:
  void Start(const std::vector<Behaviour>& behaviours) {
    m_control.emplace(&m_scheduler, behaviours);
    ClaimClientOptions options{&m_scheduler, &*m_control, {}, "entry-1"};
    for (std::size_t i = 0; i < behaviours.size(); ++i) {
      options.control_addresses.push_back(
          {"127.0.0.1:700" + std::to_string(i)});
    }
    m_client.emplace(std::move(options));
  }

  Result<ClaimResult> Claim(std::uint64_t attempt) {
    std::optional<Result<ClaimResult>> result;
    m_client->Claim({{1'000'000ULL << 16, 7}, 42, attempt}, seconds(5),
                    [&result](Result<ClaimResult> answer) {
                      EXPECT_FALSE(result.has_value()) << "answered twice";
                      result = std::move(answer);
                    });
    EXPECT_FALSE(result.has_value()) << "answered from within the call";
    m_scheduler.RunUntil([&result] { return result.has_value(); });
    return *result;
  }

  FakeScheduler m_scheduler;
  std::optional<FakeControl> m_control;
  std::optional<ClaimClient> m_client;
};

TEST_F(ClaimClientTest, FindsTheLeaderAfterEachKindOfFailure) {
  for (const Behaviour behaviour :
       {Behaviour::kNotLeader, Behaviour::kNoQuorum, Behaviour::kUnreachable,
        Behaviour::kNoAnswer, Behaviour::kMalformedAnswer}) {
    Start({behaviour, behaviour, Behaviour::kCommits});
    const auto result = Claim(1);
    ASSERT_TRUE(result) << static_cast<int>(behaviour);
    EXPECT_EQ(result->status, ClaimStatus::kGranted);
    EXPECT_EQ(m_control->m_calls, 3);
    // The next command goes to the leader first.
    EXPECT_EQ(Claim(2)->status, ClaimStatus::kClaimedByOther);
    EXPECT_EQ(m_control->m_calls, 4);
  }
}

TEST_F(ClaimClientTest, RetryAfterALostAnswerIsStillGranted) {
  Start({Behaviour::kCommitsButLosesAnswer, Behaviour::kCommits});
  const auto result = Claim(1);
  ASSERT_TRUE(result);
  EXPECT_EQ(result->status, ClaimStatus::kGranted);
  EXPECT_EQ(m_control->m_committed, 2);
}

TEST_F(ClaimClientTest, ClaimWithoutAQuorumFailsAtItsTimeout) {
  Start({Behaviour::kNoQuorum, Behaviour::kUnreachable, Behaviour::kNoAnswer});
  const TimePoint start = m_scheduler.Now();
  const auto result = Claim(1);
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().kind, ErrorKind::kNoQuorum);
  EXPECT_EQ(m_scheduler.Now() - start, seconds(5));
  EXPECT_EQ(m_client->Pending(), 0U);
}

TEST_F(ClaimClientTest, RetriesAReleaseUntilTheControlGroupAnswers) {
  Start({Behaviour::kCommits});
  ASSERT_EQ(Claim(1)->status, ClaimStatus::kGranted);
  m_control->m_behaviours[0] = Behaviour::kNoQuorum;
  m_client->Release({{1'000'000ULL << 16, 7}, 42, 1});
  m_scheduler.RunFor(seconds(60));
  EXPECT_EQ(m_client->Pending(), 1U);
  m_control->m_behaviours[0] = Behaviour::kCommits;
  m_scheduler.RunFor(seconds(1));
  EXPECT_EQ(m_client->Pending(), 0U);
  EXPECT_EQ(Claim(2)->status, ClaimStatus::kGranted);
}

}  // namespace
}  // namespace chicoryvale
