// Random choice of members.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "member_table.h"
#include "proximity.h"

namespace gaugevalve::membership {

// Picks members at random: mostly of this node's zone, some of its region, few of other regions.
class PeerSelector {
 public:
  using Predicate = std::function<bool(const Member&)>;

  PeerSelector(base::NodeId self, const MemberTable& table, const ProximityClassifier& classifier,
               base::RandomSource& random)
      : self_(self), table_(table), classifier_(classifier), random_(random) {}

  // Returns a random member, not this node, for which `predicate` holds; looks at a bounded number
  // of them, so it may find none though there is one.
  const Member* Any(const Predicate& predicate) const;

  // Returns a live member, near ones preferred; null when there is none.
  const Member* NearLivePeer() const;

  // Returns a random live member of this node's region that the predicate accepts; null if none.
  const Member* RegionalLivePeer(const Predicate& predicate) const;

  // Returns up to `count` different live members, none of them `excluded`.
  std::vector<const Member*> LivePeers(std::size_t count, base::NodeId excluded) const;

 private:
  Proximity RandomProximity() const;

  base::NodeId self_;
  const MemberTable& table_;
  const ProximityClassifier& classifier_;
  base::RandomSource& random_;
};

}  // namespace gaugevalve::membership
