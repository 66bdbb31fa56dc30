#include "peer_selector.h"

#include <algorithm>

namespace gaugevalve::membership {
namespace {

constexpr std::size_t kMaximumSteps = 256;
constexpr double kSameZoneShare = 0.5;
constexpr double kSameRegionShare = 0.35;

}  // namespace

const Member* PeerSelector::Any(const Predicate& predicate) const {
  const MemberTable::Map& members = table_.Members();
  if (members.empty()) {
    return nullptr;
  }
  // Identifiers are hashes, so the successor of a random number is sufficiently uniform.
  auto place = members.lower_bound(base::NodeId(random_.NextUint64()));
  const std::size_t steps = std::min(kMaximumSteps, members.size());
  for (std::size_t step = 0; step < steps; ++step) {
    if (place == members.end()) {
      place = members.begin();
    }
    if (place->first != self_ && predicate(place->second)) {
      return &place->second;
    }
    ++place;
  }
  return nullptr;
}

const Member* PeerSelector::NearLivePeer() const {
  const Proximity wanted = RandomProximity();
  const Member* peer = Any([&](const Member& member) {
    return IsLive(member.state) && classifier_.Of(*member.metadata) == wanted;
  });
  if (peer != nullptr) {
    return peer;
  }
  return Any([](const Member& member) { return IsLive(member.state); });
}

const Member* PeerSelector::RegionalLivePeer(const Predicate& predicate) const {
  return Any([&](const Member& member) {
    return IsLive(member.state) && classifier_.Of(*member.metadata) != Proximity::kOtherRegion &&
           predicate(member);
  });
}

std::vector<const Member*> PeerSelector::LivePeers(std::size_t count, base::NodeId excluded) const {
  constexpr std::size_t kTriesForEach = 3;
  std::vector<const Member*> peers;
  for (std::size_t tries = 0; tries < count * kTriesForEach && peers.size() < count; ++tries) {
    const Member* peer = NearLivePeer();
    const bool is_usable = peer != nullptr && peer->node != excluded &&
                           std::find(peers.begin(), peers.end(), peer) == peers.end();
    if (is_usable) {
      peers.push_back(peer);
    }
  }
  return peers;
}

Proximity PeerSelector::RandomProximity() const {
  const double drawn = random_.NextUnit();
  if (drawn < kSameZoneShare) {
    return Proximity::kSameZone;
  }
  return drawn < kSameZoneShare + kSameRegionShare ? Proximity::kSameRegion
                                                   : Proximity::kOtherRegion;
}

}  // namespace gaugevalve::membership
