// Measures the cost of the membership per node as the group grows, on virtual
// time: bytes, packets, processor time, memory, failure detection and spread of
// items. Prints a table and the fitted slopes.
// Usage: membership_scale [LARGEST_SIZE]
// The default is 256. A group of 1024 takes very long to check.

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "adapters/udp_transport.h"
#include "fakes/fake_group.h"
#include "scale_report.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kMaxZones = 4;
constexpr std::uint64_t kSeed = 1;
/// The same for all sizes of the group, so that rows differ only in that size.
constexpr std::size_t kLeaseGroupSize = 8;
constexpr int kQuietSeconds = 60;
/// Restarts per second in the whole group: 7,000 per day.
constexpr double kRestartsPerSecond = 7000.0 / 86400;
constexpr int kChurnSeconds = 120;

/// One row of the table. Rates are per node and second.
struct Row {
  double size = 0;
  double packets = 0;
  double bytes = 0;
  double core_percent = 0;
  double churn_bytes = 0;
  double churn_core_percent = 0;
  double heap_kilobytes = 0;
  double first_dead_s = 0;
  double all_dead_s = 0;
  double all_expired_s = 0;
  double spread_s = 0;
  double wrongly_dead = 0;
  /// Highest rate in any second of the minute after a zone was cut off, and the
  /// sum over that minute after subtracting the quiet rate.
  double cut_peak_bytes = 0;
  double cut_extra_kilobytes = 0;
};

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// Measures a group of one size.
class GroupBenchmark {
 public:
  explicit GroupBenchmark(std::size_t size)
      : m_size(size),
        m_heap_before(HeapBytes()),
        m_group(size, ZoneCount(size), kSeed, 0, LeaseGroupCount(size)) {
    m_group.network().datagram_loss_ratio = 0.01;
  }

  Row Measure() {
    m_row.size = static_cast<double>(m_size);
    const Duration joined =
        m_group.RunUntil(seconds(300), [this] { return m_group.AllAlive(); });
    if (joined >= seconds(300)) std::puts("the group did not converge");
    m_group.scheduler().RunFor(seconds(60));
    MeasureQuiet();
    MeasureChurn();
    MeasureSpread();
    MeasureCrash();
    MeasureZoneCut();
    return m_row;
  }

 private:
  static std::size_t ZoneCount(std::size_t size) {
    return std::min(kMaxZones, size / kLeaseGroupSize);
  }
  static std::uint32_t LeaseGroupCount(std::size_t size) {
    return static_cast<std::uint32_t>(size / ZoneCount(size) / kLeaseGroupSize);
  }

  /// Runs `work`, which takes `duration_s` seconds of virtual time. Returns the
  /// bytes sent and the percentage of a core, per node and second, and records
  /// the rate of packets.
  std::pair<double, double> MeasureTraffic(int duration_s,
                                           const std::function<void()>& work) {
    FakeNetwork& network = m_group.network();
    const auto datagrams = static_cast<double>(network.datagrams);
    const auto bytes = static_cast<double>(network.datagram_bytes);
    const double processor = ProcessorSeconds();
    work();
    const double node_seconds = m_row.size * duration_s;
    const double sent = static_cast<double>(network.datagrams) - datagrams;
    const double payload = static_cast<double>(network.datagram_bytes) - bytes;
    m_row.packets = sent / node_seconds;
    return {(payload + sent * kDatagramOverheadBytes) / node_seconds,
            (ProcessorSeconds() - processor) / node_seconds * 100};
  }

  void MeasureQuiet() {
    const auto [bytes, core] = MeasureTraffic(kQuietSeconds, [this] {
      m_group.scheduler().RunFor(seconds(kQuietSeconds));
    });
    m_row.bytes = bytes;
    m_row.core_percent = core;
    m_row.heap_kilobytes = (HeapBytes() - m_heap_before) / m_row.size / 1024;
    m_row.wrongly_dead =
        static_cast<double>(m_group.Sum(MembershipCounter::kDeclaredDead));
  }

  void MeasureChurn() {
    const double quiet_packets = m_row.packets;
    const auto [bytes, core] = MeasureTraffic(kChurnSeconds, [this] {
      constexpr int kRestarts =
          static_cast<int>(kChurnSeconds * kRestartsPerSecond);
      const Duration pause = seconds(kChurnSeconds) / kRestarts;
      for (int i = 0; i < kRestarts; ++i) {
        const std::size_t node = 3 + static_cast<std::size_t>(i);
        m_group.node(node).membership->Leave();
        m_group.scheduler().RunFor(seconds(2));
        m_group.Crash(node);
        m_group.Restart(node);
        m_group.scheduler().RunFor(pause - seconds(2));
      }
    });
    m_row.churn_bytes = bytes;
    m_row.churn_core_percent = core;
    m_row.packets = quiet_packets;
    m_group.scheduler().RunFor(seconds(30));
  }

  void MeasureSpread() {
    m_group.node(1).membership->Publish(
        {GossipKind::kAvailabilitySignal, "10.1.0.1:9000", 1, "", 600});
    const Duration spread = m_group.RunUntil(seconds(30), [this] {
      for (std::size_t i = 0; i < m_size; ++i) {
        if (m_group.node(i)
                .membership->Items(GossipKind::kAvailabilitySignal)
                .empty()) {
          return false;
        }
      }
      return true;
    });
    m_row.spread_s = ToSeconds(spread);
  }

  void MeasureCrash() {
    const std::size_t victim = m_size - 1;
    m_group.Crash(victim);
    const auto until = [&](const std::function<bool()>& done) {
      return ToSeconds(m_group.RunUntil(seconds(120), done));
    };
    m_row.first_dead_s = until([&] {
      for (std::size_t i = 0; i < victim; ++i) {
        if (m_group.State(i, victim) >= MemberState::kDead) return true;
      }
      return false;
    });
    m_row.all_dead_s = m_row.first_dead_s + until([&] {
                         return AllAtLeast(victim, MemberState::kDead);
                       });
    m_row.all_expired_s =
        m_row.all_dead_s +
        until([&] { return AllAtLeast(victim, MemberState::kLeaseExpired); });
  }

  void MeasureZoneCut() {
    constexpr int kCutSeconds = 60;
    m_group.scheduler().RunFor(seconds(30));
    m_group.SetZoneCut("b", true);
    for (int second = 0; second < kCutSeconds; ++second) {
      const double packets = m_row.packets;
      const double bytes = MeasureTraffic(1, [this] {
                             m_group.scheduler().RunFor(seconds(1));
                           }).first;
      m_row.packets = packets;
      m_row.cut_peak_bytes = std::max(m_row.cut_peak_bytes, bytes);
      m_row.cut_extra_kilobytes += (bytes - m_row.bytes) / 1024;
    }
  }

  bool AllAtLeast(std::size_t victim, MemberState state) const {
    for (std::size_t i = 0; i < victim; ++i) {
      if (m_group.State(i, victim) < state) return false;
    }
    return true;
  }

  std::size_t m_size;
  double m_heap_before;
  FakeGroup m_group;
  Row m_row;
};

/// Prints the processor time that sockets and HMAC take to send and receive one
/// datagram.
void PrintDatagramCost() {
  constexpr int kDatagrams = 20000;
  constexpr int kBatch = 50;
  const auto make = [] {
    return std::move(*UdpTransport::Make({.bind = {"127.0.0.1:0"},
                                          .key = std::string(32, 'k'),
                                          .refused_peers = {}}));
  };
  const auto from = make();
  const auto to = make();
  for (const std::size_t size : {200, 400, 1300}) {
    int received = 0;
    to->SetReceiver([&](const Address&, const std::string&) { ++received; });
    const std::string payload(size, 'x');
    const double start = ProcessorSeconds();
    for (int sent = 0; sent < kDatagrams;) {
      for (int i = 0; i < kBatch; ++i, ++sent) {
        from->Send(to->LocalAddress(), payload);
      }
      while (received < sent) g_main_context_iteration(nullptr, TRUE);
    }
    std::printf("datagram of %4zu bytes, sent and received: %.1f us\n", size,
                (ProcessorSeconds() - start) / kDatagrams * 1e6);
  }
}

void PrintTable(std::size_t max_size) {
  std::printf("%5s %8s %8s %8s %8s %8s %8s %7s %7s %7s %7s %6s %8s %8s\n",
              "nodes", "pkt/s", "B/s", "core%", "B/s+ch", "core%+ch", "KB/node",
              "dead1 s", "deadN s", "exprd s", "sprd s", "wrong", "cut B/s",
              "cut KB");
  std::map<std::string, std::vector<std::pair<double, double>>> points;
  for (std::size_t size = 16; size <= max_size; size *= 2) {
    const Row row = GroupBenchmark(size).Measure();
    std::printf(
        "%5.0f %8.2f %8.0f %8.4f %8.0f %8.4f %8.0f %7.2f %7.2f %7.2f %7.2f "
        "%6.0f %8.0f %8.0f\n",
        row.size, row.packets, row.bytes, row.core_percent, row.churn_bytes,
        row.churn_core_percent, row.heap_kilobytes, row.first_dead_s,
        row.all_dead_s, row.all_expired_s, row.spread_s, row.wrongly_dead,
        row.cut_peak_bytes, row.cut_extra_kilobytes);
    std::fflush(stdout);
    points["packets sent/s"].emplace_back(row.size, row.packets);
    points["bytes sent/s, quiet"].emplace_back(row.size, row.bytes);
    points["bytes sent/s, 7000 restarts"].emplace_back(row.size,
                                                       row.churn_bytes);
    points["core %, quiet"].emplace_back(row.size, row.core_percent);
    points["core %, 7000 restarts"].emplace_back(row.size,
                                                 row.churn_core_percent);
    points["peak B/s, zone cut off"].emplace_back(row.size, row.cut_peak_bytes);
    points["extra KB, zone cut off"].emplace_back(row.size,
                                                  row.cut_extra_kilobytes);
    points["heap KB"].emplace_back(row.size, row.heap_kilobytes);
    points["all believe dead, s"].emplace_back(row.size, row.all_dead_s);
    points["lease expired, s"].emplace_back(row.size, row.all_expired_s);
    points["item at all nodes, s"].emplace_back(row.size, row.spread_s);
  }
  std::printf("\nfits, each with its value at %.0f nodes\n", kTargetNodes);
  for (const auto& [name, values] : points) PrintFits(name, values);
}

}  // namespace
}  // namespace chicoryvale

int main(int argc, char** argv) {
  const std::size_t max_size =
      argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 256;
  chicoryvale::PrintDatagramCost();
  chicoryvale::PrintTable(max_size);
  return 0;
}
