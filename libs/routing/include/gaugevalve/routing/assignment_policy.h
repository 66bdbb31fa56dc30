// Interface of the policies that assign buckets to agents.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/routing/bucket_table.h"

namespace gaugevalve::routing {

// An agent that may own buckets, and the share of them it should have.
struct AssignmentCandidate {
  base::NodeId node;
  std::string zone;
  double share = 0.0;  // 0 or above; only ratios count
};

// One bucket as input of an assignment.
struct AssignmentBucket {
  base::NodeId owner;                               // value 0: none
  std::string owner_zone;                           // empty if the table doesn't list the owner
  bool owner_alive = false;                         // live or leaving, so it may hold flows
  std::uint32_t flows_at_owner = 0;                 // as last reported
  std::span<const base::NodeId> previous_owners{};  // valid during the call
};

// A bucket and the agent it goes to.
struct BucketMove {
  base::BucketIndex index;
  base::NodeId new_owner;

  friend bool operator==(const BucketMove&, const BucketMove&) = default;
};

// Result of an assignment.
struct Assignment {
  std::vector<BucketMove> forced;    // away from owners that aren't candidates
  std::vector<BucketMove> optional;  // to meet the shares, within the allowance
  std::size_t blocked = 0;           // forced moves that are not possible while the chain is full
};

// Chooses which buckets move. Pure: the same input gives the same moves on every node.
class AssignmentPolicy {
 public:
  virtual ~AssignmentPolicy() = default;

  // `candidates` isn't empty and is sorted by node. `allowance` bounds the optional moves.
  virtual Assignment Assign(std::span<const AssignmentCandidate> candidates,
                            std::span<const AssignmentBucket> buckets,
                            std::size_t allowance) const = 0;
};

}  // namespace gaugevalve::routing
