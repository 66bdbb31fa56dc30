#include "gaugevalve/placement/route_table.h"

namespace gaugevalve::placement {

base::ServiceId Route::Choose(std::uint64_t hash) const {
  std::uint64_t total = 0;
  for (const WeightedService& part : services) {
    total += part.weight;
  }
  if (total == 0) {
    return services.front().service;
  }
  std::uint64_t position = hash % total;
  for (const WeightedService& part : services) {
    if (position < part.weight) {
      return part.service;
    }
    position -= part.weight;
  }
  return services.back().service;
}

const Route* RouteTable::Find(const base::SocketAddress& address) const {
  const auto found = routes.find(address);
  return found == routes.end() ? nullptr : &found->second;
}

std::optional<WarmUpRate> RouteTable::FindWarmUpRate(base::ServiceId service) const {
  if (version == 0) {
    return std::nullopt;
  }
  const auto found = warm_up_rates.find(service);
  return found == warm_up_rates.end() ? WarmUpRate() : found->second;
}

}  // namespace gaugevalve::placement
