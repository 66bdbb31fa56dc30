// The times by which agents and planners agree on who may open flows without hearing of each other.
#pragma once

#include <chrono>

#include "gaugevalve/base/time.h"

namespace gaugevalve::routing {

// An agent opens no flow once its table was last confirmed longer ago than this: confirmed at the
// time at which it sent a report that a planner answered.
inline constexpr base::Duration kFreshnessLimit = std::chrono::milliseconds(2500);

// How long a planner holds the buckets of an agent that was declared dead, counted from the last
// answer that the planner gave it. Longer than the limit by 4 %, far more than two monotonic clocks
// differ in rate.
inline constexpr base::Duration kDeadAgentHold = std::chrono::milliseconds(2600);

static_assert(kDeadAgentHold > kFreshnessLimit);

}  // namespace gaugevalve::routing
