#include "gaugevalve/membership/member.h"

#include "gaugevalve/membership/membership_actions.h"

namespace gaugevalve::membership {

std::string_view MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

std::string_view EventName(EventKind kind) {
  switch (kind) {
    case EventKind::kJoined:
      return "member_joined";
    case EventKind::kRestarted:
      return "member_restarted";
    case EventKind::kChanged:
      return "member_changed";
    case EventKind::kSuspected:
      return "member_suspected";
    case EventKind::kRecovered:
      return "member_recovered";
    case EventKind::kFailed:
      return "member_failed";
    case EventKind::kLeft:
      return "member_left";
    case EventKind::kSelfPaused:
      return "self_paused";
    case EventKind::kSelfDeclaredDead:
      return "self_declared_dead";
    case EventKind::kSelfSuperseded:
      return "self_superseded";
  }
  return "unknown";
}

}  // namespace gaugevalve::membership
