// Derives events from changes of a member.
#pragma once

#include <optional>
#include <vector>

#include "gaugevalve/membership/membership_actions.h"
#include "member_table.h"

namespace gaugevalve::membership {

// Returns, in order, the events of a change that resulted in `member`. `previous` is empty when the
// member was unknown.
std::vector<EventKind> EventsOfChange(const Member& member,
                                      const std::optional<PreviousState>& previous);

}  // namespace gaugevalve::membership
