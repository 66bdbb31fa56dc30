// Selects the probe targets of a node: its successors on hash rings.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "member_table.h"
#include "proximity.h"

namespace gaugevalve::membership {

// Every node is the successor of another node on each ring, so each member has known observers and
// a bounded time between probes. Targets are stable, so connections are reused. Two rings cover the
// node's zone (probed most often), one its region and one all members. On each ring a node probes
// its successors up to the first one that is not suspected: after a large failure it reaches the
// live members beyond the failed ones without waiting for each suspicion to end.
class ProbeRings {
 public:
  explicit ProbeRings(base::NodeId self);

  // Must be called whenever the record of a member changes.
  void OnMemberChanged(const Member& member, Proximity proximity);

  // Returns the next node to probe, or nothing when there is none.
  std::optional<base::NodeId> Next(const MemberTable& table, const ProximityClassifier& classifier);

  // Rebuilds the stale rings and returns the farthest target of each. After a failure these are
  // probed at once, to reach the live members beyond the failed ones.
  std::vector<base::NodeId> NewTargets(const MemberTable& table,
                                       const ProximityClassifier& classifier);

  // Returns whether the node is one of this node's targets, as of the last Next().
  bool IsTarget(base::NodeId node) const;

 private:
  static constexpr std::size_t kRings = 4;
  static constexpr std::size_t kMaximumTargets = 4;  // per ring

  struct Target {
    std::uint64_t distance = 0;  // on the ring, from this node
    base::NodeId node;
    bool is_suspect = false;

    friend bool operator<(const Target& left, const Target& right) {
      return left.distance < right.distance;
    }
  };

  struct Ring {
    Proximity farthest = Proximity::kSameZone;  // members farther away are not on the ring
    std::uint64_t salt = 0;
    std::uint64_t origin = 0;     // this node's position
    std::vector<Target> targets;  // ordered by distance
    std::size_t cursor = 0;
    bool is_stale = true;
  };

  static std::uint64_t Distance(const Ring& ring, base::NodeId node);
  static bool AffectsTargets(const Ring& ring, const Member& member);
  void Rebuild(Ring& ring, const MemberTable& table, const ProximityClassifier& classifier) const;
  std::optional<base::NodeId> NextTargetOf(Ring& ring, const MemberTable& table,
                                           const ProximityClassifier& classifier) const;

  base::NodeId self_;
  std::array<Ring, kRings> rings_;
  std::size_t step_ = 0;
};

}  // namespace gaugevalve::membership
