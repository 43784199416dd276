// Evacuations ordered at several control processes, while one of them is
// paused. It finds the order that its operator gave up in a socket when it
// resumes.

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "fakes/raw_socket.h"
#include "process/cluster.h"
#include "process/gateway_deployment.h"

namespace chicoryvale {
namespace {

constexpr int kControls = 3;

/// Longer than an election takes, in case the leader is paused.
constexpr std::chrono::seconds kPause{4};

/// Time for a resumed process to carry out what it finds in its sockets.
constexpr std::chrono::seconds kResumeTime{3};

class EvacuationOrderTest : public testing::TestWithParam<int> {
 protected:
  EvacuationOrderTest() { m_deployment.Start(0, kControls); }

  [[nodiscard]] Address OperatorAddress(int control) {
    return {m_deployment.Control(control).AddressOf("routing")};
  }

  static std::string OrderBytes(const std::string& method) {
    return method + " /evacuate/b HTTP/1.1\r\nHost: control\r\n" +
           "Content-Length: 0\r\n\r\n";
  }

  // Sends the order to the processes that run until one accepts it.
  void Order(const std::string& method, int paused) {
    WaitFor([&] {
      for (int i = 0; i < kControls; ++i) {
        if (i == paused) continue;
        RawSocket connection(OperatorAddress(i));
        connection.Send(OrderBytes(method));
        if (connection.ReceiveUntil("\r\n\r\n").find(" 200 ") !=
            std::string::npos) {
          return true;
        }
      }
      return false;
    });
  }

  [[nodiscard]] std::string EvacuatedZones(int control) {
    const std::string text =
        GetText(m_deployment.Control(control).AddressOf("metrics"), "/metrics");
    const std::string name = "\nchicoryvale_control_evacuated_zones ";
    const std::size_t start = text.find(name);
    if (start == std::string::npos) return "";
    return text.substr(start + name.size(), 1);
  }

  // Pauses a process, which gets the order `given_up`; others carry out that
  // order and then the opposite one.
  void OvertakeOrderAtPausedProcess(int paused, const std::string& given_up,
                                    const std::string& later) {
    m_deployment.Control(paused).Signal(SIGSTOP);
    {
      RawSocket connection(OperatorAddress(paused));
      connection.Send(OrderBytes(given_up));
      std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    Order(given_up, paused);
    Order(later, paused);
    std::this_thread::sleep_for(kPause);
    m_deployment.Control(paused).Signal(SIGCONT);
    std::this_thread::sleep_for(kResumeTime);
  }

  GatewayDeployment m_deployment{{}, {}, {}};
};

// review/9: the second evacuation ended for good.
TEST_P(EvacuationOrderTest, AnEndThatWasGivenUpDoesNotEndALaterEvacuation) {
  Order("POST", -1);
  OvertakeOrderAtPausedProcess(GetParam(), "DELETE", "POST");
  for (int i = 0; i < kControls; ++i) EXPECT_EQ(EvacuatedZones(i), "1") << i;
}

TEST_P(EvacuationOrderTest, AnEvacuationThatWasGivenUpDoesNotOutliveItsEnd) {
  OvertakeOrderAtPausedProcess(GetParam(), "POST", "DELETE");
  for (int i = 0; i < kControls; ++i) EXPECT_EQ(EvacuatedZones(i), "0") << i;
}

INSTANTIATE_TEST_SUITE_P(EachProcess, EvacuationOrderTest,
                         testing::Range(0, kControls));

}  // namespace
}  // namespace chicoryvale
