/// @file
/// Helpers shared by the source files of BalancerCore.
#pragma once

#include <algorithm>
#include <ranges>
#include <vector>

#include "gaugevalve/placement/balancer_core.h"

namespace gaugevalve::placement {

/// Returns whether `items` contains `item`.
template <std::ranges::input_range Items, class Item>
bool Contains(const Items& items, const Item& item) {
  return std::find(items.begin(), items.end(), item) != items.end();
}

/// Appends `item` unless `items` contains it.
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

/// Returns the decision to reset the packet's flow. A client accepts a reset near the last sequence
/// number that it has acknowledged, and any reset while the flow is not open.
inline BalancerDecision Reset(BalancerReason reason, const FlowPacket& packet) {
  return {BalancerVerdict::kReset, reason, {}, {}, packet.acknowledged};
}

/// Returns the decision on a packet of an open flow that no endpoint holds any more. A client's
/// own reset needs no answer.
inline BalancerDecision ResetEnded(const FlowPacket& packet, const ResetEvidence& evidence) {
  if (packet.is_reset) {
    return Drop(BalancerReason::kReset);
  }
  BalancerDecision decision = Reset(BalancerReason::kHeldByNone, packet);
  decision.evidence = evidence;
  return decision;
}

}  // namespace gaugevalve::placement
