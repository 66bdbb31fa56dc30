#include "gaugevalve/dissemination/peer_directory.h"

#include <algorithm>
#include <utility>

#include "gaugevalve/base/hash.h"

namespace gaugevalve::dissemination {
namespace {

constexpr std::uint64_t kAnyZoneOneIn = 4;
constexpr base::Duration kRelayPeriod = std::chrono::seconds(1);
// Number of draws per relay, after which the search for another distinct one ends.
constexpr std::size_t kDrawsPerRelay = 4;

// A node's position on the hash ring that assigns narrow peers to full nodes.
struct RingPlace {
  std::uint64_t position = 0;
  base::NodeId node;

  friend auto operator<=>(const RingPlace&, const RingPlace&) = default;
};

RingPlace RingPlaceOf(base::NodeId node) { return {base::HashPair(node.value(), 0), node}; }

}  // namespace

void PeerDirectory::Upsert(const Peer& peer) {
  Peer& known = peers_[peer.node];
  if (known != peer) {
    known = peer;
    stale_ = true;
  }
}

void PeerDirectory::Remove(base::NodeId node) {
  if (peers_.erase(node) != 0) {
    stale_ = true;
  }
}

const Peer* PeerDirectory::Find(base::NodeId node) const {
  const auto found = peers_.find(node);
  return found == peers_.end() ? nullptr : &found->second;
}

std::size_t PeerDirectory::FullPeerCount() {
  Rebuild();
  return full_.all.size();
}

void PeerDirectory::Rebuild() {
  if (!stale_) {
    return;
  }
  full_ = {};
  every_ = {};
  full_relays_ = {};
  every_relays_ = {};
  common_kinds_ = 0;
  std::vector<base::NodeId>
      sorted;  // independent of the iteration order of the hash map, so that runs are reproducible
  sorted.reserve(peers_.size());
  for (const auto& [node, peer] : peers_) {
    sorted.push_back(node);
  }
  std::sort(sorted.begin(), sorted.end());
  for (const base::NodeId node : sorted) {
    const Peer& peer = peers_.at(node);
    const bool near = peer.zone == self_.zone;
    every_.all.push_back(node);
    common_kinds_ |= peer.interest.common_kinds;
    if (near) {
      every_.near.push_back(node);
    }
    if (peer.interest.everything) {
      full_.all.push_back(node);
      if (near) {
        full_.near.push_back(node);
      }
    }
  }
  RebuildScopes(sorted);
  stale_ = false;
}

// Groups the narrow peers by scope and finds those that are assigned to this node.
void PeerDirectory::RebuildScopes(const std::vector<base::NodeId>& sorted) {
  narrow_.clear();
  assigned_.clear();
  std::vector<RingPlace> ring;
  for (const base::NodeId node : full_.all) {
    ring.push_back(RingPlaceOf(node));
  }
  if (self_.interest.everything) {
    ring.push_back(RingPlaceOf(self_.node));
  }
  std::sort(ring.begin(), ring.end());
  for (const base::NodeId node : sorted) {
    const Interest& interest = peers_.at(node).interest;
    if (interest.everything || interest.scope == 0) {
      continue;
    }
    narrow_[interest.scope].push_back(node);
    const auto first = std::lower_bound(ring.begin(), ring.end(), RingPlaceOf(node)) - ring.begin();
    for (std::size_t step = 0; step < std::min(kAssignedNodesPerPeer, ring.size()); ++step) {
      if (ring[(static_cast<std::size_t>(first) + step) % ring.size()].node == self_.node) {
        assigned_[interest.scope].push_back(node);
      }
    }
  }
}

base::NodeId PeerDirectory::Pick(const Group& group, bool any_zone) {
  const std::vector<base::NodeId>& from = any_zone || group.near.empty() ? group.all : group.near;
  return from.empty() ? base::NodeId() : from[random_->NextBelow(from.size())];
}

const std::vector<base::NodeId>& PeerDirectory::Relays(const RecordKey& key, std::size_t count,
                                                       base::TimePoint now) {
  Rebuild();
  // A kind that any narrow peer holds in all scopes is relayed by all peers.
  const bool common = Interest{false, 0, common_kinds_}.Covers(key);
  RelaySet& relays = common ? every_relays_ : full_relays_;
  if (now >= relays.valid_until) {
    relays = {ChooseRelays(common ? every_ : full_, count), now + kRelayPeriod};
  }
  return relays.nodes;
}

std::vector<base::NodeId> PeerDirectory::ChooseRelays(const Group& group, std::size_t count) {
  std::vector<base::NodeId> chosen;
  for (std::size_t draw = 0; draw < count * kDrawsPerRelay && chosen.size() < count; ++draw) {
    const bool any_zone = chosen.size() + 1 == count || draw >= count;
    const base::NodeId node = Pick(group, any_zone);
    const bool taken = std::find(chosen.begin(), chosen.end(), node) != chosen.end();
    if (node != base::NodeId() && !taken) {
      chosen.push_back(node);
    }
  }
  return chosen;
}

base::NodeId PeerDirectory::ChooseFullPeer() {
  Rebuild();
  return Pick(full_, random_->NextBelow(kAnyZoneOneIn) == 0);
}

std::vector<base::NodeId> PeerDirectory::PeersOfScope(const RecordKey& key, std::size_t limit) {
  Rebuild();
  const auto found = narrow_.find(key.scope);
  if (found == narrow_.end()) {
    return {};
  }
  const std::vector<base::NodeId>& nodes = found->second;
  return {nodes.begin(),
          nodes.begin() + static_cast<std::ptrdiff_t>(std::min(limit, nodes.size()))};
}

std::vector<base::NodeId> PeerDirectory::AssignedPeersOfScope(const RecordKey& key) {
  Rebuild();
  const auto found = assigned_.find(key.scope);
  return found == assigned_.end() ? std::vector<base::NodeId>() : found->second;
}

}  // namespace gaugevalve::dissemination
