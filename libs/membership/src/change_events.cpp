#include "change_events.h"

namespace gaugevalve::membership {

std::vector<EventKind> EventsOfChange(const Member& member,
                                      const std::optional<PreviousState>& previous) {
  const bool was_live = previous && IsLive(previous->state);
  std::vector<EventKind> events;
  if (!IsLive(member.state)) {
    if (was_live) {
      events.push_back(member.state == MemberState::kDead ? EventKind::kFailed : EventKind::kLeft);
    }
    return events;
  }
  if (!was_live) {
    events.push_back(EventKind::kJoined);
  } else if (member.metadata->process_incarnation != previous->process_incarnation) {
    events.push_back(EventKind::kRestarted);
  } else if (member.metadata_version != previous->metadata_version) {
    events.push_back(EventKind::kChanged);
  }
  if (member.state == MemberState::kSuspect) {
    events.push_back(EventKind::kSuspected);
  } else if (was_live && previous->state == MemberState::kSuspect) {
    events.push_back(EventKind::kRecovered);
  }
  return events;
}

}  // namespace gaugevalve::membership
