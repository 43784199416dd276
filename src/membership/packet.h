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

/// Longest id, address or zone name of a member.
inline constexpr std::size_t kMaxMemberNameBytes = 64;

/// Largest payload of a datagram, within the usual MTU.
inline constexpr std::size_t kMaxPacketBytes = 1400;

enum class PacketType : std::uint8_t {
  kPing,
  kAck,
  /// Asks the receiver to ping `target` and pass on the answer.
  kPingRequest,
  /// The receiver of a ping request has had no answer from the target.
  kNack,
  /// Carries news only.
  kGossip,
  /// Asks for the members whose ids follow `cursor`.
  kSyncRequest,
  kSyncAnswer,
  kLeaseRequest,
  kLeaseGrant,
  /// The granter has reported this lease epoch as run out.
  kLeaseRefusal,
};

/// News of a member.
struct MemberUpdate {
  Member member;
  /// Member that suspects it; empty in other states.
  std::string accuser;
};

/// Report that the sender has no grant in force for a lease.
struct LapsedLease {
  std::string id;
  std::uint64_t epoch = 0;
};

/// One datagram between members.
struct Packet {
  PacketType type = PacketType::kGossip;
  /// Pairs an answer with its question.
  std::uint64_t sequence = 0;
  Member sender;
  ConfigDigest digest;
  Address target;
  std::string cursor;
  std::uint64_t lease_epoch = 0;
  std::vector<LapsedLease> lapsed;
  std::vector<MemberUpdate> updates;
  std::vector<GossipItem> items;
};

/// Returns the bytes of `packet`.
std::string EncodePacket(const Packet& packet);

/// Decodes and checks the bounds of each field; false for a bad packet.
bool DecodePacket(const std::string& bytes, Packet* packet);

/// Returns the number of bytes that the parts add to a packet.
std::size_t EncodedSize(const MemberUpdate& update);
std::size_t EncodedSize(const GossipItem& item);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_MEMBERSHIP_PACKET_H_
