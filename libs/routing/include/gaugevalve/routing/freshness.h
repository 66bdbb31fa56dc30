// Time limits by which agents and planners agree, without a message, on which agents may open
// flows.
#pragma once

#include <chrono>

#include "gaugevalve/base/time.h"

namespace gaugevalve::routing {

// An agent opens no flows when its table was last confirmed longer ago than this. An answer of the
// planner to a report confirms the table as of the time at which the agent sent the report.
inline constexpr base::Duration kFreshnessLimit = std::chrono::milliseconds(2500);

// Time for which a planner holds the buckets of an agent that was declared dead, counted from its
// last answer to the agent. It is 4 % longer than kFreshnessLimit, which is far more than the
// difference in rate of two monotonic clocks.
inline constexpr base::Duration kDeadAgentHold = std::chrono::milliseconds(2600);

static_assert(kDeadAgentHold > kFreshnessLimit);

}  // namespace gaugevalve::routing
