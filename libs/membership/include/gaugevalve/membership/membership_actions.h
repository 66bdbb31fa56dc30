// What the membership core asks its owner to do.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/membership/member.h"

namespace gaugevalve::membership {

// What happened to a member.
enum class EventKind : std::uint8_t {
  kJoined,     // was unknown, dead or left before
  kRestarted,  // a new life of a member that counted as there
  kChanged,    // other metadata in the same life
  kSuspected,
  kRecovered,  // refuted the suspicion
  kFailed,     // declared dead
  kLeft,
  // About this node itself:
  kSelfPaused,        // stood still for `pause`; what it knew may be old
  kSelfDeclaredDead,  // others took it for dead, and may have given its work away
  kSelfSuperseded,    // a newer process has this node's identity; this one must end
};

// Returns the event's name in logs, such as "member_joined".
std::string_view EventName(EventKind kind);

struct MembershipEvent {
  EventKind kind = EventKind::kJoined;
  Member member;            // as it is after the event
  base::Duration pause{0};  // of kSelfPaused
};

// A message for a node's control address; a payload of transport::MessageKind::kMembership.
struct OutgoingMessage {
  base::SocketAddress destination;
  std::string payload;
};

// Appended to by each call of the core, in the order in which they are to be done.
struct MembershipActions {
  std::vector<OutgoingMessage> messages;
  std::vector<MembershipEvent> events;
};

}  // namespace gaugevalve::membership
