/// @file
/// Selects the few balancers that perform a duty on behalf of all.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/placement/balancer_list.h"

namespace gaugevalve::placement {

/// Returns how many of `others` precede `self` in the order of a duty. The order is by rendezvous
/// hash: it differs between duties, is the same on all balancers that know the same balancers, and
/// needs no messages. If two balancers know different ones, both may perform a duty, or neither.
std::size_t DutyRank(std::string_view duty, const base::SocketAddress& self,
                     std::span<const BalancerAge> others);

}  // namespace gaugevalve::placement
