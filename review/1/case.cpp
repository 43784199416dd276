// Two control machines are lost for good, one after the other; each gets a successor at a
// new address with an empty disk. The script does what day.toml does, without the bench.

#include "lab.hpp"

namespace {

using namespace lab;

// kind = "replace_core", x = 2.0, twice, 20 s apart.
constexpr double kSuccessorMs = 2000;
constexpr double kBetweenMs = 20000;
// Much longer than contactMs (4 s), for which the operator asks.
constexpr double kReadMs = 20000;

std::string MakeConfig(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r-view","host":"archive.example","pathPrefix":"/view/",)"
         R"("routeType":"safe","timeoutMs":3000,"targetLatencyMs":500,"priority":1,)"
         R"("backend":"viewer","maxAttempts":2}],"backends":[{"name":"viewer",)"
         R"("healthPath":"/health","maxConnections":82,"protocol":"h1","tls":false}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

}  // namespace

int main(int argc, char** argv) {
  const Folders folders = Begin(argc, argv);
  Deployment deployment(folders.root, folders.temporary);
  Platform platform(deployment.StandInIp(0));
  if (!platform.Open()) End(&deployment, kCouldNotRun, "no platform");
  if (!deployment.Start(platform.Address())) End(&deployment, kCouldNotRun, "no processes");
  if (!deployment.PutConfig(MakeConfig(1), 20000)) {
    End(&deployment, kCouldNotRun, "no configuration");
  }
  SleepMs(10000);
  for (int i = 0; i < 2; ++i) {
    if (HasTrouble()) {
      Node* lost = deployment.Controls()[static_cast<std::size_t>(i)];
      const std::string zone = lost->zone;
      Record("disruption: a control machine is replaced");
      deployment.Kill(lost);
      SleepMs(kSuccessorMs);
      if (!deployment.AddControl(zone)) End(&deployment, kCouldNotRun, "no successor");
    }
    SleepMs(kBetweenMs);
    // One change after the first replacement: it is acknowledged.
    if (i == 0 && !deployment.PutConfig(MakeConfig(2), 10000)) {
      End(&deployment, kCouldNotRun, "the change after the first replacement failed");
    }
  }
  const std::string read = deployment.ReadConfig(kReadMs);
  if (deployment.HasDied()) End(&deployment, kCouldNotRun, "a process ended");
  if (read == MakeConfig(2)) End(&deployment, kHeld, "version 2 was read back");
  End(&deployment, kBroken,
      read.empty() ? "no control machine answered a read; version 2 was acknowledged"
                   : "another configuration than version 2 was read back");
}
