// Clients that connect to an address other than that of the gateway's callers.
// Each process has low limits on memory and descriptors.

#include <gtest/gtest.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "hostile/hostile_crowd.h"
#include "process/cluster.h"
#include "process/gateway_deployment.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kCrowd = 160;
constexpr std::size_t kSilentCrowd = 400;
constexpr std::size_t kBodyBytes = std::size_t{1} << 20;

std::vector<HostileCase> Crowds() {
  const std::string chunked =
      Head("POST", "/x", "Transfer-Encoding: chunked\r\n");
  return {
      {"BodiesOneByteShort", kCrowd,
       [](RawSocket& connection) {
         connection.Send(LengthHead("POST", "/x", kBodyBytes) +
                         std::string(kBodyBytes - 1, 'x'));
       }},
      {"ChunksOfOneByte", kCrowd,
       [chunked](RawSocket& connection) {
         SendChunks(connection, chunked, kBodyBytes / 16, 1);
       }},
      {"HeadsWithoutEnd", kCrowd,
       [](RawSocket& connection) {
         connection.Send("POST /x HTTP/1.1\r\nHost: h\r\n");
         SendRepeatedly(connection, "Name: " + std::string(1000, 'x') + "\r\n",
                        kBodyBytes);
       }},
      {"ChunkExtensions", kCrowd,
       [chunked](RawSocket& connection) {
         connection.Send(chunked);
         SendRepeatedly(connection, "1;" + std::string(8000, 'x') + "\r\nx\r\n",
                        kBodyBytes);
       }},
      {"TrailersWithoutEnd", kCrowd,
       [chunked](RawSocket& connection) {
         connection.Send(chunked + "0\r\n");
         SendRepeatedly(connection, "Name: " + std::string(1000, 'x') + "\r\n",
                        kBodyBytes);
       }},
      {"SilentConnections", kSilentCrowd, [](RawSocket& /*connection*/) {}},
  };
}

std::string NameOf(const testing::TestParamInfo<HostileCase>& info) {
  return info.param.name;
}

std::string Get(const std::string& address, const std::string& path) {
  RawSocket connection(Address{address});
  connection.Send("GET " + path +
                  " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  return connection.ReceiveAll();
}

class OtherAddressesTest : public testing::TestWithParam<HostileCase> {
 protected:
  /// Sends the crowd to the address `name` of `process`. `is_served` sends an
  /// ordinary request and returns whether it was answered.
  static void RunAt(const std::string& name, const Process& process,
                    const std::function<bool()>& is_served) {
    RunCrowd({process.AddressOf(name)}, GetParam(), [&] {
      ExpectWithinLimits((name + ", crowd open").c_str(), process);
    });
    ExpectWithinLimits((name + ", crowd closed").c_str(), process);
    if (process.PeakMemoryBytes() == 0) return;
    WaitFor(is_served);
    ExpectWithinLimits((name + ", after a request").c_str(), process);
  }
};

class GatewayAddressesTest : public OtherAddressesTest {
 protected:
  GatewayAddressesTest() { m_deployment.AddSettings(LimitSettings()); }

  void RunAtGateway(const std::string& name) {
    RunBeside([this, &name] {
      m_deployment.Start(1);
      const Process& gateway = m_deployment.Gateway(0);
      RunAt(name, gateway, [this, &gateway] {
        const std::string ready = Get(gateway.AddressOf("ready"), "/");
        const std::string metrics =
            Get(gateway.AddressOf("metrics"), "/metrics");
        return ready.starts_with("HTTP/1.1 200") &&
               metrics.starts_with("HTTP/1.1 200") &&
               m_deployment.Call(0, "many", "probe")
                   .starts_with("HTTP/1.1 200");
      });
    });
  }

  void RunAtControl(const std::string& name) {
    RunBeside([this, &name] {
      m_deployment.Start(0);
      const Process& control = m_deployment.Control();
      RunAt(name, control, [&control] {
        return Get(control.AddressOf("routing"), "/config")
                   .starts_with("HTTP/1.1 200") &&
               Get(control.AddressOf("metrics"), "/metrics")
                   .starts_with("HTTP/1.1 200");
      });
    });
  }

  GatewayDeployment m_deployment{
      {"i-1"},
      [](const std::string& /*replica_id*/, const HttpRequest& request,
         const HttpResponder& respond) {
        respond(GatewayDeployment::SoundAnswer(request));
      },
      {}};
};

TEST_P(GatewayAddressesTest, Callers) { RunAtGateway("callers"); }
TEST_P(GatewayAddressesTest, Ready) { RunAtGateway("ready"); }
TEST_P(GatewayAddressesTest, Metrics) { RunAtGateway("metrics"); }
// What connects here has no key yet.
TEST_P(GatewayAddressesTest, Peers) { RunAtGateway("peers"); }
TEST_P(GatewayAddressesTest, ControlRouting) { RunAtControl("routing"); }
TEST_P(GatewayAddressesTest, ControlMetrics) { RunAtControl("metrics"); }
TEST_P(GatewayAddressesTest, ControlPeers) { RunAtControl("peers"); }

INSTANTIATE_TEST_SUITE_P(All, GatewayAddressesTest, testing::ValuesIn(Crowds()),
                         NameOf);

class EntryAddressesTest : public OtherAddressesTest {
 protected:
  EntryAddressesTest() {
    m_cluster.AddSettings(LimitSettings());
    m_cluster.StartControl(0, 1);
    m_cluster.StartUpstreams("sangh",
                             "[[service]]\nname = \"sangh.DuesOffice\"\n"
                             "replicas_per_shard = 4\n"
                             "availability_zones = [\"a\", \"b\"]\n");
    m_cluster.Deploy("sangh", {"sangh.DuesOffice"});
    m_cluster.StartEntry(0, 1);
    WaitFor([this] { return LooksUpDues(); });
  }

  bool LooksUpDues() {
    return PostJson(m_cluster.Entry(0).AddressOf("callers"),
                    "/sangh.DuesOffice/Lookup", {{"member_id", "m1"}},
                    {{"X-Chicoryvale-Workspace", "makers"},
                     {"X-Chicoryvale-Deadline-Ms", "10000"}})
               .status == 200;
  }

  Cluster m_cluster;
};

TEST_P(EntryAddressesTest, Callers) {
  RunAt("callers", m_cluster.Entry(0), [this] { return LooksUpDues(); });
}
TEST_P(EntryAddressesTest, Metrics) {
  RunAt("metrics", m_cluster.Entry(0), [this] {
    return LooksUpDues() &&
           m_cluster.EntryMetric(0, "entry_config_version") > 0;
  });
}
TEST_P(EntryAddressesTest, ControlOperators) {
  RunAt("operators", m_cluster.Control(0), [this] {
    return m_cluster.RunCtl({"--json", "status"}) == 0;
  });
}

INSTANTIATE_TEST_SUITE_P(All, EntryAddressesTest, testing::ValuesIn(Crowds()),
                         NameOf);

}  // namespace
}  // namespace chicoryvale
