// The assignment the planner uses: no bucket moves that needn't.
#pragma once

#include "gaugevalve/routing/assignment_policy.h"

namespace gaugevalve::routing {

// Gives each candidate its quota (share of all buckets) with the fewest moves: only buckets of
// agents above their quota move, and only to agents below theirs. Among the buckets that could
// move, one whose new owner is in its chain comes first (the chain gets no longer), then one with a
// short chain and few flows. Equal candidates are preferred in the zone of the old owner, so that
// the walk of the chain is short. A bucket with a full chain only goes back to a member of the
// chain.
class MinimalMovement final : public AssignmentPolicy {
 public:
  // A gap between two agents is closed while it is above one bucket plus `hysteresis` times the
  // even quota.
  explicit MinimalMovement(double hysteresis) : hysteresis_(hysteresis) {}

  Assignment Assign(std::span<const AssignmentCandidate> candidates,
                    std::span<const AssignmentBucket> buckets,
                    std::size_t allowance) const override;

 private:
  double hysteresis_;
};

}  // namespace gaugevalve::routing
