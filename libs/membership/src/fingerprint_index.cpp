#include "fingerprint_index.h"

#include "gaugevalve/base/hash.h"

namespace gaugevalve::membership {

Fingerprint FingerprintIndex::Of(base::NodeId node, base::Incarnation incarnation,
                                 base::Incarnation metadata_version) {
  const std::uint64_t versions = base::HashPair(incarnation.value(), metadata_version.value());
  return static_cast<Fingerprint>(base::HashPair(node.value(), versions));
}

void FingerprintIndex::Add(const Member& member) {
  const auto [place, is_new] = slots_.try_emplace(Of(member), Slot{member.node, false});
  if (!is_new && place->second.node != member.node) {
    place->second.is_shared = true;
  }
}

void FingerprintIndex::Remove(const Member& member) {
  const auto found = slots_.find(Of(member));
  if (found != slots_.end() && !found->second.is_shared && found->second.node == member.node) {
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
