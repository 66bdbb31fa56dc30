#include "gaugevalve/placement/duty_rank.h"

#include <algorithm>
#include <cstdint>

#include "gaugevalve/base/hash.h"
#include "gaugevalve/placement/flow_hash.h"

namespace gaugevalve::placement {

std::size_t DutyRank(std::string_view duty, const base::SocketAddress& self,
                     std::span<const BalancerAge> others) {
  const std::uint64_t seed = base::HashText(duty);
  const auto order = [seed](const base::SocketAddress& balancer) {
    return base::HashPair(seed, AddressHash(balancer));
  };
  const std::uint64_t own = order(self);
  return static_cast<std::size_t>(
      std::count_if(others.begin(), others.end(),
                    [&](const BalancerAge& other) { return order(other.address) < own; }));
}

}  // namespace gaugevalve::placement
