#include "routing/replica_feed.h"

#include <algorithm>
#include <string>

namespace chicoryvale {
namespace {

/// Pause after a read that failed, as a part of the period.
constexpr int kFailedPart = 4;

/// What the log tells of a change: when only the time until a replica is warm
/// has changed, nothing.
bool SameReplica(const ListedReplica& left, const ListedReplica& right) {
  return left.id == right.id && left.address == right.address &&
         left.draining == right.draining;
}

}  // namespace

ReplicaFeed::~ReplicaFeed() { m_ports.scheduler->Cancel(m_timer); }

void ReplicaFeed::Start() { ReadNow(); }

void ReplicaFeed::ReadNow() {
  m_timer = 0;
  m_ports.directory->Read(
      [this](const Result<std::vector<ListedReplica>>& replicas) {
        OnRead(replicas);
      });
}

void ReplicaFeed::OnRead(const Result<std::vector<ListedReplica>>& replicas) {
  // Reads of many entries spread over the period.
  std::uniform_real_distribution<double> part(0.8, 1.2);
  Duration pause(static_cast<Duration::rep>(
      part(m_random) * static_cast<double>(m_period.count())));
  if (!replicas) {
    pause /= kFailedPart;
    if (!m_failing) {
      m_ports.log->Write(LogLevel::kWarning, "replica_list_lost",
                         {{"reason", replicas.error().message}});
    }
    m_failing = true;
  } else {
    const bool changed = !std::ranges::equal(*replicas, m_last, SameReplica);
    if (m_failing || changed) {
      const auto draining =
          std::ranges::count(*replicas, true, &ListedReplica::draining);
      m_ports.log->Write(LogLevel::kInfo, "replica_list_changed",
                         {{"replicas", std::to_string(replicas->size())},
                          {"draining", std::to_string(draining)}});
    }
    m_failing = false;
    m_last = *replicas;
    m_listener(*replicas);
  }
  m_timer = m_ports.scheduler->Schedule(pause, [this] { ReadNow(); });
}

}  // namespace chicoryvale
