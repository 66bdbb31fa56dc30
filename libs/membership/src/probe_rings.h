// Whom a node probes: its successors on hash rings.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "member_table.h"
#include "proximity.h"

namespace gaugevalve::membership {

// Every node is the successor of some other on each ring, so it always has known observers and a
// bounded time between probes; nodes stay with their targets, so connections last. Two rings span
// the node's zone (probed most often), one its region and one all members. On a ring a node probes
// its successors up to the first that isn't suspected: after a large failure it gets past the dead
// without waiting for each suspicion to end.
class ProbeRings {
 public:
  explicit ProbeRings(base::NodeId self);

  // Notes that what is known of a member has changed.
  void OnMemberChanged(const Member& member, Proximity proximity);

  // Returns whom to probe next; nothing when there is nobody.
  std::optional<base::NodeId> Next(const MemberTable& table, const ProximityClassifier& classifier);

  // Brings the rings up to date and returns the farthest targets of those that had changed: after a
  // failure, whom to probe at once to get past the dead.
  std::vector<base::NodeId> NewTargets(const MemberTable& table,
                                       const ProximityClassifier& classifier);

  // Returns whether the node is one of this node's targets (as of the last Next()).
  bool IsTarget(base::NodeId node) const;

 private:
  static constexpr std::size_t kRings = 4;
  static constexpr std::size_t kMaximumTargets = 4;  // of one ring

  struct Target {
    std::uint64_t distance = 0;  // on the ring, from this node
    base::NodeId node;
    bool is_suspect = false;

    friend bool operator<(const Target& left, const Target& right) {
      return left.distance < right.distance;
    }
  };

  struct Ring {
    Proximity farthest = Proximity::kSameZone;  // members farther away aren't on the ring
    std::uint64_t salt = 0;
    std::uint64_t origin = 0;     // this node's place
    std::vector<Target> targets;  // by distance
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
