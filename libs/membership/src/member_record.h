// What one message says about one member, and its codec.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "gaugevalve/membership/member.h"
#include "gaugevalve/membership/membership.pb.h"

namespace gaugevalve::membership {

// The low half of a node's identifier: enough to tell the few accusers of one member apart.
using AccuserTag = std::uint32_t;

AccuserTag MakeAccuserTag(base::NodeId node);

struct MemberRecord {
  base::NodeId node;
  base::Incarnation incarnation;
  base::Incarnation metadata_version;
  MemberState state = MemberState::kAlive;
  std::shared_ptr<const MemberMetadata> metadata;  // null when the message left it out
  AccuserTag accuser = 0;
};

// Whether a record is sent with its metadata.
enum class RecordDetail : std::uint8_t {
  kState,   // without
  kUpdate,  // only when the receivers can't have it yet: a new life, or a change
  kFull,
};

void EncodeRecord(const Member& member, RecordDetail detail, AccuserTag accuser,
                  proto::MemberRecord& record);

// Returns the record; nothing when it is malformed.
std::optional<MemberRecord> DecodeRecord(const proto::MemberRecord& record);

void EncodeAddress(const base::SocketAddress& address, proto::Address& encoded);
std::optional<base::SocketAddress> DecodeAddress(const proto::Address& encoded);

}  // namespace gaugevalve::membership
