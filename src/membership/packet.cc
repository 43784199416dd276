#include "membership/packet.h"

#include <algorithm>

namespace chicoryvale {
namespace {

/// Size of the length prefix of each string.
constexpr std::size_t kLengthBytes = 8;

bool IsValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxMemberNameBytes;
}

bool IsValidMember(const Member& member) {
  return IsValidName(member.info.id) &&
         IsValidName(member.info.address.host_port) &&
         IsValidName(member.info.availability_zone) &&
         member.state <= MemberState::kLeft &&
         member.info.role <= MemberRole::kControl;
}

bool IsValidUpdate(const MemberUpdate& update) {
  return IsValidMember(update.member) &&
         update.accuser.size() <= kMaxMemberNameBytes;
}

bool IsValidItem(const GossipItem& item) {
  return item.kind <= GossipKind::kSaturatedGroup &&
         item.key.size() <= kMaxGossipKeyBytes &&
         item.payload.size() <= kMaxGossipPayloadBytes;
}

}  // namespace

// NOLINTBEGIN(readability-identifier-naming): named by cereal.
template <class Archive>
void serialize(Archive& archive, Member& value) {
  archive(value.info.id, value.info.address.host_port,
          value.info.availability_zone, value.info.role, value.state,
          value.incarnation);
}

template <class Archive>
void serialize(Archive& archive, MemberUpdate& value) {
  archive(value.member, value.accuser);
}

template <class Archive>
void serialize(Archive& archive, ExpiredGrant& value) {
  archive(value.holder_id, value.epoch);
}

template <class Archive>
void serialize(Archive& archive, GossipItem& value) {
  archive(value.kind, value.key, value.stamp, value.payload, value.lifetime_s);
}

template <class Archive>
void serialize(Archive& archive, Packet& value) {
  archive(value.type, value.sequence, value.sender, value.digest.version,
          value.digest.hash, value.target.host_port, value.cursor,
          value.lease_epoch, value.expired, value.updates, value.items);
}
// NOLINTEND(readability-identifier-naming)

std::string EncodePacket(const Packet& packet) { return Encode(packet); }

bool DecodePacket(const std::string& bytes, Packet* packet) {
  return bytes.size() <= kMaxPacketBytes && Decode(bytes, packet) &&
         packet->type <= PacketType::kLeaseRefusal &&
         IsValidMember(packet->sender) &&
         packet->target.host_port.size() <= kMaxMemberNameBytes &&
         packet->cursor.size() <= kMaxMemberNameBytes &&
         std::ranges::all_of(packet->updates, IsValidUpdate) &&
         std::ranges::all_of(packet->items, IsValidItem) &&
         std::ranges::all_of(packet->expired, IsValidName,
                             &ExpiredGrant::holder_id);
}

std::size_t EncodedSize(const MemberUpdate& update) {
  const MemberInfo& info = update.member.info;
  return 4 * kLengthBytes + info.id.size() + info.address.host_port.size() +
         info.availability_zone.size() + update.accuser.size() +
         sizeof(info.role) + sizeof(update.member.state) +
         sizeof(update.member.incarnation);
}

std::size_t EncodedSize(const GossipItem& item) {
  return 2 * kLengthBytes + sizeof(item.kind) + item.key.size() +
         sizeof(item.stamp) + item.payload.size() + sizeof(item.lifetime_s);
}

}  // namespace chicoryvale
