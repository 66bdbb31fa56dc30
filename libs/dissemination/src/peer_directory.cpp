#include "gaugevalve/dissemination/peer_directory.h"

#include <algorithm>

namespace gaugevalve::dissemination {
namespace {

constexpr std::uint64_t kFarChoiceOneIn = 4;
constexpr base::Duration kRelayPeriod = std::chrono::seconds(1);
// Draws per wanted relay before giving up on finding another distinct one.
constexpr std::size_t kDrawsPerRelay = 4;

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
  std::vector<base::NodeId> sorted;  // the same order on every run, whatever the hash map's
  sorted.reserve(peers_.size());
  for (const auto& [node, peer] : peers_) {
    sorted.push_back(node);
  }
  std::sort(sorted.begin(), sorted.end());
  for (const base::NodeId node : sorted) {
    const Peer& peer = peers_.at(node);
    const bool near = peer.zone == own_zone_;
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
  stale_ = false;
}

base::NodeId PeerDirectory::Pick(const Group& group, bool any_zone) {
  const std::vector<base::NodeId>& from = any_zone || group.near.empty() ? group.all : group.near;
  return from.empty() ? base::NodeId() : from[random_->NextBelow(from.size())];
}

const std::vector<base::NodeId>& PeerDirectory::Relays(const RecordKey& key, std::size_t count,
                                                       base::TimePoint now) {
  Rebuild();
  // A kind that any narrow peer wants whatever its scope is relayed by all.
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
  return Pick(full_, random_->NextBelow(kFarChoiceOneIn) == 0);
}

std::vector<base::NodeId> PeerDirectory::PeersOfScope(const RecordKey& key,
                                                      std::size_t limit) const {
  std::vector<base::NodeId> found;
  for (const auto& [node, peer] : peers_) {
    const bool wants =
        !peer.interest.everything && peer.interest.scope != 0 && peer.interest.scope == key.scope;
    if (wants) {
      found.push_back(node);
    }
  }
  std::sort(found.begin(), found.end());
  if (found.size() > limit) {
    found.resize(limit);
  }
  return found;
}

}  // namespace gaugevalve::dissemination
