#ifndef CHICORYVALE_SRC_MEMBERSHIP_PACKET_H_
#define CHICORYVALE_SRC_MEMBERSHIP_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/codec.h"
#include "ports/member_view.h"
#include "ports/peer_gossip.h"

namespace chicoryvale {

/// Maximum length of the id, the address and the availability zone of a member.
inline constexpr std::size_t kMaxMemberNameBytes = 64;

/// Maximum payload of a datagram, which fits into the usual MTU.
inline constexpr std::size_t kMaxPacketBytes = 1400;

enum class PacketType : std::uint8_t {
  kPing,
  kAck,
  /// Requests an indirect probe: the receiver pings `target` and relays the
  /// ack.
  kPingRequest,
  /// Tells the sender of a ping request that the target has not answered yet.
  kNack,
  /// Carries only piggybacked gossip.
  kGossip,
  /// Requests the page of members whose ids follow `cursor`.
  kSyncRequest,
  kSyncAnswer,
  kLeaseRequest,
  kLeaseGrant,
  /// The granter has reported its grant for this lease epoch as expired.
  kLeaseRefusal,
};

/// An update of a member's state.
struct MemberUpdate {
  Member member;
  /// Id of the member that suspects it; empty in other states.
  std::string accuser;
};

/// Report that the sender has no grant in force for the lease of a member.
struct ExpiredGrant {
  std::string holder_id;
  std::uint64_t epoch = 0;
};

/// One datagram between members.
struct Packet {
  PacketType type = PacketType::kGossip;
  /// Matches a response to its request.
  std::uint64_t sequence = 0;
  Member sender;
  ConfigDigest digest;
  /// kPingRequest: the member to ping.
  Address target;
  /// kSyncRequest: id that precedes the requested page. kSyncAnswer: last id of
  /// the page; empty at the end of the list.
  std::string cursor;
  std::uint64_t lease_epoch = 0;
  /// Expired grants of the sender to members that it believes dead.
  std::vector<ExpiredGrant> expired;
  std::vector<MemberUpdate> updates;
  std::vector<GossipItem> items;
};

/// Returns the serialized form of `packet`.
std::string EncodePacket(const Packet& packet);

/// Decodes `bytes` into `*packet` and validates each field. Returns false if
/// the packet is malformed.
bool DecodePacket(const std::string& bytes, Packet* packet);

/// Returns the number of bytes that the argument adds to an encoded packet.
std::size_t EncodedSize(const MemberUpdate& update);
std::size_t EncodedSize(const GossipItem& item);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_MEMBERSHIP_PACKET_H_
