#include "gaugevalve/routing/flow_cache.h"

namespace gaugevalve::routing {

std::optional<base::NodeId> FlowCache::Find(std::uint64_t flow_key_hash) {
  const auto found = by_flow_.find(flow_key_hash);
  if (found == by_flow_.end()) {
    return std::nullopt;
  }
  entries_.splice(entries_.begin(), entries_, found->second);
  return found->second->agent;
}

void FlowCache::Insert(std::uint64_t flow_key_hash, base::NodeId agent) {
  Erase(flow_key_hash);
  if (entries_.size() >= capacity_) {
    by_flow_.erase(entries_.back().flow_key_hash);
    entries_.pop_back();
  }
  entries_.push_front({flow_key_hash, agent});
  by_flow_[flow_key_hash] = entries_.begin();
}

void FlowCache::Erase(std::uint64_t flow_key_hash) {
  const auto found = by_flow_.find(flow_key_hash);
  if (found != by_flow_.end()) {
    entries_.erase(found->second);
    by_flow_.erase(found);
  }
}

}  // namespace gaugevalve::routing
