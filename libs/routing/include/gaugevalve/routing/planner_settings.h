// What a service's settings say about how its buckets are assigned.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/freshness.h"

namespace gaugevalve::routing {

// Each field's default is the one that docs/design/0007 argues for. Plain value.
struct PlannerSettings {
  // Buckets of a new table. A table that was taken over keeps the size it has.
  std::size_t bucket_count = 256;

  // Least time between two deltas, unless an agent died, left or joined.
  base::Duration step_interval = std::chrono::seconds(1);

  // Longest time for which a planner that took over waits for a report of every live agent before
  // it decides anything.
  base::Duration take_over_settling = std::chrono::seconds(3);

  // Time from the last answer to an agent that was declared dead until its buckets are given away.
  base::Duration dead_agent_hold = kDeadAgentHold;

  // Bound on the moves that aren't forced by a dead or leaving owner: at most this many a step ...
  std::uint32_t max_moves_per_step = 8;
  // ... and this many a minute on average. Unused allowance is kept up to one minute's worth.
  std::uint32_t max_moves_per_minute = 120;
  // Most buckets in a step whose chains are shortened: bounds the size of a delta.
  std::uint32_t max_chain_updates_per_step = 32;

  // A gap between two agents' excess below this share of an even quota is left alone.
  double assignment_hysteresis = 0.06;

  // Time constant of the smoothing of reported load: the damping against stale reports.
  base::Duration smoothing_time = std::chrono::seconds(30);
  // A report this old has no say any more; before, its say shrinks in proportion.
  base::Duration report_timeout = std::chrono::seconds(15);
  // Relative change of intake for a relative deviation of load from the mean; 0 turns it off.
  double steering_gain = 2.0;
  // Deviations of load below this are noise.
  double steering_hysteresis = 0.05;

  // A freshly started endpoint reaches its full share after this time, in `cold_start_steps` steps.
  base::Duration cold_start_ramp = std::chrono::seconds(30);
  std::uint32_t cold_start_steps = 6;

  // Zones that take the service's flows while they can; empty: all alike.
  std::vector<std::string> preferred_zones;
  // Utilisation of the preferred zones above which the others take the surplus.
  double spill_utilisation = 0.7;

  // An agent whose endpoint fails this often (failures a second) and far more than the median of
  // the others is taken out, for `ejection_time` times the number of ejections in a row.
  double ejection_failure_rate = 0.5;
  base::Duration ejection_time = std::chrono::seconds(30);
  // Never more than this share of the live agents is out at once (rounded down).
  double max_ejected_share = 0.34;
};

}  // namespace gaugevalve::routing
