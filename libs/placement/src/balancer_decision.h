/// @file
/// What the parts of BalancerCore share.
#pragma once

#include <algorithm>
#include <ranges>
#include <vector>

#include "gaugevalve/placement/balancer_core.h"

namespace gaugevalve::placement {

/// Returns whether `item` is among `items`.
template <std::ranges::input_range Items, class Item>
bool Contains(const Items& items, const Item& item) {
  return std::find(items.begin(), items.end(), item) != items.end();
}

/// Appends `item` unless it is among `items`.
template <class Item>
void AddOnce(std::vector<Item>& items, const Item& item) {
  if (!Contains(items, item)) {
    items.push_back(item);
  }
}

/// Returns the decision to drop a packet.
inline BalancerDecision Drop(BalancerReason reason) {
  return {BalancerVerdict::kDrop, reason, {}, {}, 0};
}

/// Returns the decision to reset the packet's flow. The client takes a reset near what it has
/// acknowledged, and any while the flow isn't open.
inline BalancerDecision Reset(BalancerReason reason, const FlowPacket& packet) {
  return {BalancerVerdict::kReset, reason, {}, {}, packet.acknowledged};
}

}  // namespace gaugevalve::placement
