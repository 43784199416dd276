#include "adapters/udp_transport.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "fakes/main_context.h"

namespace chicoryvale {
namespace {

const std::string kKey(32, 'k');

std::unique_ptr<UdpTransport> MakeUdp(const std::string& key = kKey) {
  auto made = UdpTransport::Make(
      {.bind = {"127.0.0.1:0"}, .key = key, .refused_peers = {}});
  EXPECT_TRUE(made);
  return std::move(*made);
}

TEST(UdpTransportTest, DeliversDatagramsWithTheAddressOfTheSender) {
  auto a = MakeUdp();
  auto b = MakeUdp();
  std::string received;
  Address sender;
  b->SetReceiver([&](const Address& from, std::string payload) {
    sender = from;
    received = std::move(payload);
  });
  a->Send(b->LocalAddress(), "hello");
  IterateUntil([&] { return !received.empty(); });
  EXPECT_EQ(received, "hello");
  EXPECT_EQ(sender, a->LocalAddress());
}

TEST(UdpTransportTest, RejectsMalformedDatagrams) {
  const FrameAuth auth(kKey);
  const std::string good = auth.Seal("x", "chicoryvale datagram");
  std::string version = good;
  version[FrameAuth::kLengthBytes] = 9;
  struct Case {
    const char* name;
    std::string bytes;
    PeerCounter counter;
  };
  const std::vector<Case> cases = {
      {"empty", "", PeerCounter::kTruncated},
      {"truncated", good.substr(0, 20), PeerCounter::kTruncated},
      {"length", std::string(60, '\0'), PeerCounter::kBadLength},
      {"bytes after the frame", good + "y", PeerCounter::kBadLength},
      {"version", version, PeerCounter::kBadVersion},
      {"mac", auth.Seal("x", "other"), PeerCounter::kBadMac},
      {"claimed size", std::string(60, '\xff'), PeerCounter::kTooLarge},
      {"oversized", std::string(9000, 'x'), PeerCounter::kTooLarge},
  };
  const GObjectPtr<GSocket> raw(g_socket_new(G_SOCKET_FAMILY_IPV4,
                                             G_SOCKET_TYPE_DATAGRAM,
                                             G_SOCKET_PROTOCOL_UDP, nullptr));
  for (const Case& test : cases) {
    auto udp = MakeUdp();
    int accepted = 0;
    udp->SetReceiver([&](const Address&, const std::string&) { ++accepted; });
    const auto to = ToSocketAddress(udp->LocalAddress());
    g_socket_send_to(raw.get(), to->get(), test.bytes.data(), test.bytes.size(),
                     nullptr, nullptr);
    IterateUntil([&] { return udp->counters().Get(test.counter) > 0; });
    EXPECT_EQ(accepted, 0) << test.name;
  }
}

TEST(UdpTransportTest, CountsDatagramsThatAreNotSent) {
  auto a = MakeUdp();
  auto b = MakeUdp();
  a->Send(b->LocalAddress(), std::string(2000, 'x'));
  EXPECT_EQ(a->counters().Get(PeerCounter::kTooLarge), 1U);
  a->Send({"nowhere"}, "x");
  EXPECT_EQ(a->counters().Get(PeerCounter::kMalformed), 1U);
  a->SetRefusedPeers({b->LocalAddress()});
  a->Send(b->LocalAddress(), "x");
  EXPECT_EQ(a->counters().Get(PeerCounter::kRefusedPeer), 1U);
  EXPECT_EQ(a->counters().Get(PeerCounter::kFramesSent), 0U);
}

TEST(UdpTransportTest, DropsDatagramsOfARefusedPeerAndDeliversOthers) {
  auto a = MakeUdp();
  auto b = MakeUdp();
  auto c = MakeUdp();
  std::vector<std::string> received;
  b->SetRefusedPeers({a->LocalAddress()});
  b->SetReceiver([&](const Address&, std::string payload) {
    received.push_back(std::move(payload));
  });
  for (int i = 0; i < 50; ++i) a->Send(b->LocalAddress(), "cut");
  c->Send(b->LocalAddress(), "through");
  IterateUntil([&] { return !received.empty(); });
  EXPECT_EQ(received, std::vector<std::string>{"through"});
  EXPECT_EQ(b->counters().Get(PeerCounter::kRefusedPeer), 50U);
}

}  // namespace
}  // namespace chicoryvale
