#include "gaugevalve/placement/route_table.h"

#include <algorithm>

namespace gaugevalve::placement {
namespace {

// Maximum number of distinct request classes of one service that agents are told. There are few
// priorities, and routes of one priority seldom differ.
constexpr std::size_t kMaxClasses = 16;

}  // namespace

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

void RouteTable::CollectClasses() {
  classes.clear();
  for (const auto& [address, route] : routes) {
    for (const WeightedService& part : route.services) {
      std::vector<RequestClass>& known = classes[part.service];
      const bool is_known =
          std::find(known.begin(), known.end(), route.request_class) != known.end();
      if (!is_known && known.size() < kMaxClasses) {
        known.push_back(route.request_class);
      }
    }
  }
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
