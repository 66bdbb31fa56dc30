// The record about one member in a message, and its codec.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "gaugevalve/membership/member.h"
#include "gaugevalve/membership/membership.pb.h"

namespace gaugevalve::membership {

// Lower 32 bits of a node's identifier: enough to distinguish the few accusers of one member.
using AccuserTag = std::uint32_t;

AccuserTag MakeAccuserTag(base::NodeId node);

struct MemberRecord {
  base::NodeId node;
  base::Incarnation incarnation;
  base::Incarnation metadata_version;
  MemberState state = MemberState::kAlive;
  std::shared_ptr<const MemberMetadata> metadata;  // null when the message omits it
  AccuserTag accuser = 0;
};

// How much of a record is sent.
enum class RecordDetail : std::uint8_t {
  kState,   // without metadata
  kUpdate,  // metadata only if receivers cannot have it yet: a new process or changed metadata
  kFull,
};

void EncodeRecord(const Member& member, RecordDetail detail, AccuserTag accuser,
                  proto::MemberRecord& record);

// Returns the record, or nothing when it is malformed.
std::optional<MemberRecord> DecodeRecord(const proto::MemberRecord& record);

void EncodeAddress(const base::SocketAddress& address, proto::Address& encoded);
std::optional<base::SocketAddress> DecodeAddress(const proto::Address& encoded);

}  // namespace gaugevalve::membership
