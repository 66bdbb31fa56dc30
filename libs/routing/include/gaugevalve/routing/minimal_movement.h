// Assignment policy of the planner: meets the shares with the fewest bucket moves.
#pragma once

#include "gaugevalve/routing/assignment_policy.h"

namespace gaugevalve::routing {

// Gives each candidate its quota (its share of all buckets) with the fewest moves: buckets move
// only from agents above their quota to agents below theirs. Among the buckets that could move, one
// whose new owner is in its chain comes first, because the chain gets no longer, then one with a
// short chain and few flows. Among equal candidates those in the zone of the old owner are
// preferred, to keep the forwarding path along the chain short. A bucket with a full chain only
// moves back to a member of the chain.
class MinimalMovement final : public AssignmentPolicy {
 public:
  // Buckets are moved between two agents while the difference of their deficits is above one bucket
  // plus `hysteresis` times the even quota.
  explicit MinimalMovement(double hysteresis) : hysteresis_(hysteresis) {}

  Assignment Assign(std::span<const AssignmentCandidate> candidates,
                    std::span<const AssignmentBucket> buckets,
                    std::size_t allowance) const override;

 private:
  double hysteresis_;
};

}  // namespace gaugevalve::routing
