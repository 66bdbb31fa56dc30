// The members to which a node gossips updates.
#pragma once

#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/membership/membership_options.h"
#include "member_table.h"
#include "peer_selector.h"

namespace gaugevalve::membership {

// A small set of random members that is kept for minutes: a new random peer per message would spend
// more bytes on opening connections than on updates. One peer is replaced periodically, so that the
// set changes over time.
class GossipPeers {
 public:
  GossipPeers(const MembershipOptions& options, const MemberTable& table,
              const PeerSelector& selector, base::RandomSource& random)
      : options_(options), table_(table), selector_(selector), random_(random) {}

  // Returns up to `count` distinct live members in random order.
  std::vector<const Member*> Choose(std::size_t count, base::TimePoint now);

 private:
  void Refresh(base::TimePoint now);

  const MembershipOptions& options_;
  const MemberTable& table_;
  const PeerSelector& selector_;
  base::RandomSource& random_;
  std::vector<base::NodeId> peers_;
  base::TimePoint next_change_at_{};
};

}  // namespace gaugevalve::membership
