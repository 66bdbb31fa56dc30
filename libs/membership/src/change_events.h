// What a change of a member means to the owner.
#pragma once

#include <optional>
#include <vector>

#include "gaugevalve/membership/membership_actions.h"
#include "member_table.h"

namespace gaugevalve::membership {

// Returns the events of a change to `member` as it is now, in order; `previous` is nothing when it
// was unknown.
std::vector<EventKind> EventsOfChange(const Member& member,
                                      const std::optional<PreviousState>& previous);

}  // namespace gaugevalve::membership
