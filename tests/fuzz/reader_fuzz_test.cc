// Readers of bytes that come from outside, with mutated inputs. A reader may
// accept or reject an input, but it must return, and must not allocate out of
// proportion. CHICORYVALE_FUZZ_RUNS sets the number of inputs for each reader.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <new>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "adapters/frame_auth.h"
#include "adapters/platform_list.h"
#include "adapters/settings_reader.h"
#include "chicory-controld/control_settings.h"
#include "chicory-gatewayd/gateway_settings.h"
#include "claims/claim_command.h"
#include "claims/request_id.h"
#include "config/change.h"
#include "config/cluster_config.h"
#include "config/config_delta.h"
#include "config/text_patch.h"
#include "fakes/routing_text.h"
#include "fuzz/mutator.h"
#include "membership/packet.h"
#include "platform/caller_codec.h"
#include "platform/http_replica_directory.h"
#include "platform/http_replica_transport.h"
#include "platform/routing_codec.h"
#include "quota/quota_messages.h"
#include "replication/log_frame.h"
#include "replication/messages.h"
#include "routing/relay_messages.h"
#include "routing/replica_list_messages.h"
#include "zone_admission/admission_messages.h"

namespace {

/// Bytes allocated with operator new since the last reset.
std::size_t g_allocated_bytes = 0;

}  // namespace

// Replaced to count what readers allocate.
void* operator new(std::size_t size) {
  g_allocated_bytes += size;
  void* memory = std::malloc(size == 0 ? 1 : size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}
// Used for the temporary buffers of algorithms.
void* operator new(std::size_t size, const std::nothrow_t& /*tag*/) noexcept {
  g_allocated_bytes += size;
  return std::malloc(size == 0 ? 1 : size);
}
// Not inlined, since GCC takes the call of free() for one that does not match
// operator new when it inlines only one of the two.
[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory,
                                       std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace chicoryvale {
namespace {

constexpr std::size_t kDefaultRuns = 3000;

/// Bound of what a reader allocates for an input, in all.
constexpr std::size_t kMaxFixedBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxBytesPerInputByte = 1024;

struct FuzzedReader {
  std::string name;
  std::vector<std::string> corpus;
  std::function<void(const std::string& input)> read;
};

void PrintTo(const FuzzedReader& reader, std::ostream* out) {
  *out << reader.name;
}

template <typename Message>
FuzzedReader MessageReader(const std::string& name, const Message& sample) {
  return {
      name, {Encode(Message{}), Encode(sample)}, [](const std::string& input) {
        Message message;
        Decode(input, &message);
      }};
}

std::vector<FuzzedReader> PeerReaders() {
  Packet packet;
  packet.sender.info = {"id", {"10.0.0.1:1"}, "zone", MemberRole::kEntry};
  packet.updates = {{packet.sender, "accuser"}};
  packet.items = {{GossipKind::kSaturatedGroup, "zone/group", 7, "text", 3}};
  packet.expired = {{"holder", 3}};
  RelayRequestMessage relay;
  relay.request_id = "id";
  relay.headers = {{"Name", "value"}};
  relay.services = {"s1", "s2"};
  relay.workspace = "w";
  RelayReplyMessage relayed;
  relayed.answered = {{1, "mac"}};
  relayed.missing = {{2, 1}};
  relayed.draining_replicas = {"r"};
  relayed.lost_replica = "10.0.0.1:1";
  ReplicaListReply list;
  list.has_list = true;
  list.updated = {{"id", "service", "10.0.0.1:1", "zone", 2, true, 5}};
  list.removed_ids = {"gone"};
  AdmissionCallMessage admission{"group", 3, {{1, 2, 3, 1}}, std::nullopt};
  admission.ask = AdmissionAskMessage{"w", 1, 100, 1000};
  return {
      {"packet",
       {EncodePacket({}), EncodePacket(packet)},
       [](const std::string& input) {
         Packet decoded;
         DecodePacket(input, &decoded);
       }},
      {"frame",
       {FrameAuth("key").Seal("payload", "context"),
        FrameAuth("key").Seal("", "context")},
       [](const std::string& input) {
         constexpr std::size_t kMaxPayloadBytes = 1000;
         const FrameAuth auth("key");
         EXPECT_LE(auth.Open(input, "context", kMaxPayloadBytes).payload.size(),
                   kMaxPayloadBytes);
       }},
      MessageReader("relay_request", relay),
      MessageReader("relay_reply", relayed),
      MessageReader("replica_list_request", ReplicaListRequest{7, 10, 500}),
      MessageReader("replica_list_reply", list),
      MessageReader("quota_request", QuotaRequestMessage{"w", 5, 10, 1, 2, 3}),
      MessageReader("quota_reply", QuotaReplyMessage{1, 1000, true}),
      MessageReader("admission_call", admission),
      MessageReader("admission_reply",
                    AdmissionReplyMessage{true, true, 7, 1000}),
  };
}

std::vector<FuzzedReader> StateReaders() {
  ClusterConfig config;
  config.version = 3;
  config.services = {{"s", 1, 2, {}, {{{}}}, {7}}};
  config.routing = {5, MakeRoutingText(5, 3)};
  config.evacuated_zones = {"zone"};
  ClusterConfig next = config;
  next.version = 4;
  next.routing = {6, MakeRoutingText(6, 4)};
  const ConfigDelta delta = *MakeDelta(config, next);
  const Change change{"op", 1, "", ReplaceRouting{config.routing}};
  const Change evacuation{"op", 1, "", SetEvacuation{"zone", true}};
  return {
      {"config",
       {EncodeConfig({}), EncodeConfig(config)},
       [](const std::string& input) {
         ClusterConfig decoded;
         DecodeConfig(input, &decoded);
       }},
      {"config_delta",
       {delta.bytes},
       [config, delta](const std::string& input) {
         ClusterConfig changed = config;
         ApplyDelta({delta.header, input}, &changed);
       }},
      {"change",
       {EncodeChange(change), EncodeChange(evacuation)},
       [](const std::string& input) {
         Change decoded;
         DecodeChange(input, &decoded);
       }},
      {"replication_envelope",
       {EncodeEnvelope({})},
       [](const std::string& input) {
         Envelope decoded;
         DecodeEnvelope(input, &decoded);
       }},
      {"log_frames",
       {std::string(64, 'x')},
       [](const std::string& input) { ParseFrames(input); }},
      {"claim",
       {std::string(40, '\1')},
       [](const std::string& input) {
         ClaimCommand decoded;
         DecodeClaim(input, &decoded);
       }},
      {"request_id",
       {"0123456789abcdef0123456789abcdef", "id"},
       [](const std::string& input) { ParseRequestId(input); }},
  };
}

/// Names of the headers that the reader of callers' requests knows.
const std::vector<std::string>& CallerHeaderNames() {
  static const std::vector<std::string> kNames = {
      "Host", "X-Api-Key", "Chicoryvale-Tenant", "Chicoryvale-Request-Id",
      "Chicoryvale-Deadline-Ms"};
  return kNames;
}

/// Reads a request whose headers have parts of `input` as values.
void ReadCallerRequest(const std::string& input) {
  HttpRequest request;
  request.method = "GET";
  request.path = input;
  request.body = input;
  std::size_t at = 0;
  for (const std::string& name : CallerHeaderNames()) {
    request.headers.push_back({name, input.substr(std::min(at, input.size()))});
    at += 8;
  }
  platform::DecodeCallerRequest(std::move(request));
}

std::vector<FuzzedReader> TextReaders() {
  const std::string routing = MakeRoutingText(5, 3);
  const std::string tenants =
      R"({"version":7,"tenants":[{"name":"a","apiKeys":["k1","k2"],)"
      R"("priority":1,"ratePerS":2.5,"burst":7}],"routes":[],"backends":[]})";
  const std::string page =
      R"({"instances":[{"backend":"s","address":"10.0.0.1:80","zone":"z",)"
      R"("version":"v1","slots":2,"state":"ready","warmupLeftMs":5,)"
      R"("id":"i-1"}],"nextPageToken":"p-50"})";
  const std::string vms =
      R"({"vms": [{"address": "10.0.0.1:80", "availability_zone": "a",)"
      R"("state": "live"}]})";
  const std::string settings =
      "[listen]\ncallers = \"127.0.0.1:0\"\n[limits]\nmemory_mb = 112\n"
      "[quota]\nslack = 20.0\n[peers]\nseeds = [\"127.0.0.1:1\"]\n";
  return {
      {"routing_config",
       {routing, tenants},
       [](const std::string& input) { platform::DecodeRoutingConfig(input); }},
      {"successive_routing_configs",
       {routing, tenants},
       [routing](const std::string& input) {
         platform::RoutingDecoder decoder;
         decoder.Decode(routing).has_value();
         decoder.Decode(input).has_value();
       }},
      {"replica_page",
       {page},
       [](const std::string& input) { platform::DecodeReplicaPage(input); }},
      {"replica_headers",
       {"1,2,3", "1,2,3,100", "0.25", "17"},
       [](const std::string& input) {
         platform::DecodeLoad(input);
         platform::DecodeRetryAfter(input);
         platform::DecodeRateLimit(input);
       }},
      {"platform_list",
       {vms},
       [](const std::string& input) { ParsePlatformList(input); }},
      {"caller_request", {"/path/x?y=z", "250", "key-of-a"}, ReadCallerRequest},
      {"gateway_settings",
       {settings},
       [](const std::string& input) {
         SettingsReader reader(input);
         ReadGatewaySettings(reader);
         reader.Finish();
       }},
      {"control_settings",
       {settings},
       [](const std::string& input) {
         SettingsReader reader(input);
         ReadControlSettings(reader);
         reader.Finish();
       }},
  };
}

std::vector<FuzzedReader> AllReaders() {
  std::vector<FuzzedReader> readers = PeerReaders();
  for (FuzzedReader& reader : StateReaders()) readers.push_back(reader);
  for (FuzzedReader& reader : TextReaders()) readers.push_back(reader);
  return readers;
}

std::size_t RunCount() {
  const char* text = std::getenv("CHICORYVALE_FUZZ_RUNS");
  if (text == nullptr) return kDefaultRuns;
  return std::strtoul(text, nullptr, 10);
}

std::string Hex(const std::string& bytes) {
  constexpr std::size_t kMaxShown = 400;
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const char byte : bytes.substr(0, kMaxShown)) {
    const auto value = static_cast<unsigned char>(byte);
    hex += kDigits[value >> 4];
    hex += kDigits[value & 0xf];
  }
  return hex;
}

class ReaderFuzzTest : public testing::TestWithParam<FuzzedReader> {};

// A reader that fails on bytes from outside ends the process for all callers.
TEST_P(ReaderFuzzTest, ReturnsAndAllocatesInProportion) {
  const FuzzedReader& reader = GetParam();
  Mutator mutator(reader.corpus, 1);
  const std::size_t runs = RunCount();
  for (std::size_t run = 0; run < runs; ++run) {
    const std::string input = mutator.Next();
    g_allocated_bytes = 0;
    reader.read(input);
    const std::size_t allocated = g_allocated_bytes;
    ASSERT_LE(allocated, kMaxFixedBytes + kMaxBytesPerInputByte * input.size())
        << "run " << run << " input " << Hex(input);
  }
}

INSTANTIATE_TEST_SUITE_P(Readers, ReaderFuzzTest,
                         testing::ValuesIn(AllReaders()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chicoryvale
