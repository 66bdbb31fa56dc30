/// @file
/// Virtual addresses and the services behind them, as one configuration version has them.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/request_class.h"
#include "gaugevalve/placement/warm_up_limiter.h"

namespace gaugevalve::placement {

/// A service's part of a route's new flows.
struct WeightedService {
  base::ServiceId service;
  std::uint32_t weight = 1;  ///< relative to the route's other services; 0 gets no new flow

  friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// Where new flows to one virtual address go.
struct Route {
  base::SocketAddress address;
  std::vector<WeightedService> services;  ///< at least one
  RequestClass request_class;             ///< of what comes on its flows

  /// Returns the service for a new flow: the same one for the same `hash`, shares by weight.
  base::ServiceId Choose(std::uint64_t hash) const;

  friend bool operator==(const Route&, const Route&) = default;
};

/// One version of all routes. Built once, then only read; swapped whole.
struct RouteTable {
  std::uint64_t version = 0;  ///< 0: none is known yet
  base::Duration idle_timeout = std::chrono::seconds(60);
  absl::flat_hash_map<base::SocketAddress, Route> routes;
  absl::flat_hash_map<base::ServiceId, std::string>
      health_check_paths;  ///< of services that have one
  absl::flat_hash_map<base::ServiceId, WarmUpRate>
      warm_up_rates;  ///< of services that say what their cold endpoints bear

  absl::flat_hash_map<base::ServiceId, std::vector<RequestClass>>
      classes;  ///< of the routes to each service, each once; see CollectClasses()

  /// Fills `classes` from the routes. Call when all are there.
  void CollectClasses();

  /// Returns the route of a virtual address, or null.
  const Route* Find(const base::SocketAddress& address) const;

  /// Returns what cold endpoints of a service bear: no bound where the configuration doesn't say,
  /// and nothing while none is known.
  std::optional<WarmUpRate> FindWarmUpRate(base::ServiceId service) const;
};

}  // namespace gaugevalve::placement
