// Parameters of the planner of a service.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/freshness.h"

namespace gaugevalve::routing {

// The defaults are justified in docs/design/0007.
struct PlannerSettings {
  // Number of buckets of a new table. A table that was taken over keeps its size.
  std::size_t bucket_count = 256;

  // Least time between two deltas, unless an agent died, left or joined.
  base::Duration step_interval = std::chrono::seconds(1);

  // Maximum time for which a planner that took over waits for a report of every live agent before
  // it changes the table.
  base::Duration take_over_settling = std::chrono::seconds(3);

  // Time from the last answer to an agent that was declared dead until its buckets are reassigned.
  base::Duration dead_agent_hold = kDeadAgentHold;

  // Maximum number of moves per step that aren't forced by a dead or leaving owner.
  std::uint32_t max_moves_per_step = 8;
  // Maximum number of such moves per minute on average. Unused allowance is kept, up to that of one
  // minute.
  std::uint32_t max_moves_per_minute = 120;
  // Maximum number of buckets per step whose chain changes without a move; bounds the size of a
  // delta.
  std::uint32_t max_chain_updates_per_step = 32;

  // Differences between two agents' surplus of buckets are not corrected below this share of an
  // even quota.
  double assignment_hysteresis = 0.06;

  // Time constant for smoothing the reported load; damps reactions to stale reports.
  base::Duration smoothing_time = std::chrono::seconds(30);
  // Age at which a report has no weight any more. Until then its weight falls linearly.
  base::Duration report_timeout = std::chrono::seconds(15);
  // Relative change of an agent's new flows for a relative deviation of its load from the mean; 0
  // disables steering.
  double steering_gain = 2.0;
  // Relative deviations of load below this are ignored as noise.
  double steering_hysteresis = 0.05;

  // A freshly started endpoint reaches its full share after this time, in `cold_start_steps` steps.
  base::Duration cold_start_ramp = std::chrono::seconds(30);
  std::uint32_t cold_start_steps = 6;

  // Zones that are preferred for new flows; empty: no preference.
  std::vector<std::string> preferred_zones;
  // Utilisation of the preferred zones above which other zones get the surplus.
  double spill_utilisation = 0.7;

  // An agent whose endpoint fails at least this often (failures a second) and far more than the
  // median of the service is ejected for `ejection_time` times the number of consecutive ejections.
  double ejection_failure_rate = 0.5;
  base::Duration ejection_time = std::chrono::seconds(30);
  // Maximum share of the live agents that are ejected at once (rounded down).
  double max_ejected_share = 0.34;
};

}  // namespace gaugevalve::routing
