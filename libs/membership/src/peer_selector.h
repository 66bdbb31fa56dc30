// Random selection of members.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "member_table.h"
#include "proximity.h"

namespace gaugevalve::membership {

// Selects random members: about half from this node's zone, a third from its region and the rest
// from other regions.
class PeerSelector {
 public:
  using Predicate = std::function<bool(const Member&)>;

  PeerSelector(base::NodeId self, const MemberTable& table, const ProximityClassifier& classifier,
               base::RandomSource& random)
      : self_(self), table_(table), classifier_(classifier), random_(random) {}

  // Returns a random member other than this node that satisfies `predicate`. The search is bounded,
  // so it may return null although such a member exists.
  const Member* Any(const Predicate& predicate) const;

  // Returns a random live member, with a preference for near ones, or null when there is none.
  const Member* NearLivePeer() const;

  // Returns a random live member of this node's region that satisfies the predicate, or null.
  const Member* RegionalLivePeer(const Predicate& predicate) const;

  // Returns up to `count` distinct live members, without `excluded`.
  std::vector<const Member*> LivePeers(std::size_t count, base::NodeId excluded) const;

 private:
  Proximity RandomProximity() const;

  base::NodeId self_;
  const MemberTable& table_;
  const ProximityClassifier& classifier_;
  base::RandomSource& random_;
};

}  // namespace gaugevalve::membership
