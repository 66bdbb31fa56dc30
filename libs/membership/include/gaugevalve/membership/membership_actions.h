// The actions that the membership core requests from its owner.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/membership/member.h"

namespace gaugevalve::membership {

// The kind of change that an event reports.
enum class EventKind : std::uint8_t {
  kJoined,     // was unknown, dead or left before
  kRestarted,  // a new process of a member that counted as live
  kChanged,    // new metadata from the same process
  kSuspected,
  kRecovered,  // refuted the suspicion
  kFailed,     // declared dead
  kLeft,
  // Events about this node itself:
  kSelfPaused,        // did not run for `pause`; its view may be out of date
  kSelfDeclaredDead,  // others declared it dead and may have reassigned its work
  kSelfSuperseded,    // a newer process uses this node's identity; this one must exit
};

// Returns the event's name in logs, such as "member_joined".
std::string_view EventName(EventKind kind);

struct MembershipEvent {
  EventKind kind = EventKind::kJoined;
  Member member;            // state after the event
  base::Duration pause{0};  // set for kSelfPaused
};

// A message to the control address of a node; the payload is of
// transport::MessageKind::kMembership.
struct OutgoingMessage {
  base::SocketAddress destination;
  std::string payload;
};

// Each call of the core appends to these lists. The owner must perform them in order.
struct MembershipActions {
  std::vector<OutgoingMessage> messages;
  std::vector<MembershipEvent> events;
};

}  // namespace gaugevalve::membership
