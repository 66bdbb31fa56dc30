// Measurement of how many flow keys change their agent when the set of agents changes.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace gaugevalve::routing {

// The movement of one change from `before` to `after` agents under one policy.
struct Movement {
  std::string policy;  // "planner", or a ChooserKind's name
  std::size_t before = 0;
  std::size_t after = 0;
  double moved = 0.0;      // share of the keys that have another agent than before, in [0, 1]
  double minimum = 0.0;    // the least share that any even assignment must move
  double imbalance = 1.0;  // after the change: most keys of one agent divided by the mean
};

// Measures the planner and every baseline except random choice on the same keys. Agents are
// numbered; those with the highest numbers leave or join. The planner has `bucket_count` buckets
// and runs until its table is stable.
std::vector<Movement> MeasureMovement(std::size_t before, std::size_t after,
                                      std::size_t bucket_count);

}  // namespace gaugevalve::routing
