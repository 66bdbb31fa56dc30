#include "gossip_peers.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::membership {

std::vector<const Member*> GossipPeers::Choose(std::size_t count, base::TimePoint now) {
  Refresh(now);
  std::vector<const Member*> chosen;
  for (std::size_t index = 0; index < peers_.size() && chosen.size() < count; ++index) {
    const std::size_t other = index + random_.NextBelow(peers_.size() - index);
    std::swap(peers_.at(index), peers_.at(other));
    chosen.push_back(table_.Find(peers_.at(index)));
  }
  return chosen;
}

void GossipPeers::Refresh(base::TimePoint now) {
  std::erase_if(peers_, [this](base::NodeId node) {
    const Member* member = table_.Find(node);
    return member == nullptr || !IsLive(member->state);
  });
  if (now >= next_change_at_ && !peers_.empty()) {
    peers_.erase(peers_.begin() + static_cast<std::ptrdiff_t>(random_.NextBelow(peers_.size())));
    next_change_at_ = now + options_.gossip_peer_change_interval;
  }
  for (std::size_t tries = 0; tries < options_.gossip_peers; ++tries) {
    if (peers_.size() >= options_.gossip_peers) {
      return;
    }
    const Member* peer = selector_.NearLivePeer();
    if (peer != nullptr && std::find(peers_.begin(), peers_.end(), peer->node) == peers_.end()) {
      peers_.push_back(peer->node);
    }
  }
}

}  // namespace gaugevalve::membership
