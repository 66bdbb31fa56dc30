#include "fingerprint_index.h"

#include "gaugevalve/base/hash.h"

namespace gaugevalve::membership {

Fingerprint FingerprintIndex::Of(base::NodeId node, base::Incarnation incarnation) {
  return static_cast<Fingerprint>(base::HashPair(node.value(), incarnation.value()));
}

void FingerprintIndex::Add(base::NodeId node, base::Incarnation incarnation) {
  const auto [place, is_new] = slots_.try_emplace(Of(node, incarnation), Slot{node, false});
  if (!is_new && place->second.node != node) {
    place->second.is_shared = true;
  }
}

void FingerprintIndex::Remove(base::NodeId node, base::Incarnation incarnation) {
  const auto found = slots_.find(Of(node, incarnation));
  if (found != slots_.end() && !found->second.is_shared && found->second.node == node) {
    slots_.erase(found);
  }
}

std::optional<base::NodeId> FingerprintIndex::Find(Fingerprint fingerprint) const {
  const auto found = slots_.find(fingerprint);
  if (found == slots_.end() || found->second.is_shared) {
    return std::nullopt;
  }
  return found->second.node;
}

}  // namespace gaugevalve::membership
