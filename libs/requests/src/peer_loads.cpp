#include "gaugevalve/requests/peer_loads.h"

#include <algorithm>

namespace gaugevalve::requests {

std::optional<HandOverNeed> FindHandOverNeed(const LocalSituation& situation,
                                             const HandOverLimits& limits) {
  const bool exceeds_hop_limit = situation.was_handed_over && limits.mechanisms.bound_hops;
  if (exceeds_hop_limit || situation.is_stream) {
    return std::nullopt;
  }
  if (situation.is_draining || situation.is_endpoint_down) {
    return HandOverNeed::kCannotRunHere;
  }
  if (situation.estimated_wait > limits.max_local_wait) {
    return HandOverNeed::kShorterWait;
  }
  return std::nullopt;
}

PeerLoads::PeerLoads(base::NodeId self, const HandOverLimits& limits)
    : self_(self), limits_(limits) {}

void PeerLoads::SetTable(const routing::BucketTable& table) {
  absl::erase_if(peers_,
                 [&](const auto& entry) { return table.FindAgent(entry.first) == nullptr; });
  for (const routing::AgentEntry& agent : table.agents) {
    if (agent.node != self_) {
      peers_[agent.node].listed_incarnation = agent.incarnation;
    }
  }
}

void PeerLoads::Update(const proto::HandOverLoad& load, base::TimePoint now) {
  const auto found = peers_.find(base::NodeId(load.node()));
  if (found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.announced_incarnation = base::Incarnation(load.incarnation());
  peer.free_slots = load.free_slots();
  peer.queue_room = load.queue_room();
  peer.takes_requests = load.takes_requests();
  peer.is_load_known = true;
  peer.load_received_at = now;
}

bool PeerLoads::HasRoom(base::NodeId node, const Peer& peer, HandOverNeed need,
                        base::TimePoint now) const {
  const bool is_known = peer.is_load_known && now - peer.load_received_at < limits_.max_load_age &&
                        peer.announced_incarnation == peer.listed_incarnation;
  const bool is_within_bound =
      InFlight(node) < limits_.in_flight_per_peer || !limits_.mechanisms.bound_in_flight;
  if (!is_known || !peer.takes_requests || !is_within_bound) {
    return false;
  }
  if (need == HandOverNeed::kShorterWait) {
    return peer.free_slots >= limits_.min_free_slots_for_shorter_wait;
  }
  return peer.free_slots + peer.queue_room > 0;
}

std::optional<ChosenPeer> PeerLoads::Choose(HandOverNeed need,
                                            const std::vector<base::NodeId>& tried_peers,
                                            base::RandomSource& random, base::TimePoint now) const {
  std::vector<base::NodeId> candidates;
  for (const auto& [node, peer] : peers_) {
    const bool was_tried =
        std::find(tried_peers.begin(), tried_peers.end(), node) != tried_peers.end();
    if (!was_tried && HasRoom(node, peer, need, now)) {
      candidates.push_back(node);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::sort(candidates.begin(), candidates.end());  // hash-table order is not reproducible
  const base::NodeId first = candidates[random.NextBelow(candidates.size())];
  const base::NodeId second = candidates[random.NextBelow(candidates.size())];
  const Peer& one = peers_.at(first);
  const Peer& other = peers_.at(second);
  const bool is_first_better =
      std::pair(one.free_slots, one.queue_room) >= std::pair(other.free_slots, other.queue_room);
  const base::NodeId chosen = is_first_better ? first : second;
  return ChosenPeer{chosen, peers_.at(chosen).listed_incarnation};
}

void PeerLoads::OnHandOverBegun(base::NodeId node) {
  ++in_flight_[node];
  const auto found = peers_.find(node);
  if (found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  (peer.free_slots > 0 ? peer.free_slots : peer.queue_room) -= 1;
}

void PeerLoads::OnHandOverEnded(base::NodeId node) {
  const auto found = in_flight_.find(node);
  if (found != in_flight_.end() && --found->second == 0) {
    in_flight_.erase(found);
  }
}

void PeerLoads::OnRefused(base::NodeId node) {
  const auto found = peers_.find(node);
  if (found != peers_.end()) {
    found->second.free_slots = 0;
    found->second.queue_room = 0;
  }
}

std::size_t PeerLoads::InFlight(base::NodeId node) const {
  const auto found = in_flight_.find(node);
  return found == in_flight_.end() ? 0 : found->second;
}

}  // namespace gaugevalve::requests
