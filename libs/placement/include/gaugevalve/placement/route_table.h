/// @file
/// The virtual addresses of one configuration version and the services that they route to.
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

/// A service of a route and its share of the route's new flows.
struct WeightedService {
  base::ServiceId service;
  std::uint32_t weight = 1;  ///< relative to the route's other services; 0 gets no new flow

  friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// The services that get the new flows of one virtual address.
struct Route {
  base::SocketAddress address;
  std::vector<WeightedService> services;  ///< at least one
  RequestClass request_class;             ///< of the requests on its flows

  /// Returns the service for a new flow: always the same one for the same `hash`, in proportion to
  /// the weights over many hashes.
  base::ServiceId Choose(std::uint64_t hash) const;

  friend bool operator==(const Route&, const Route&) = default;
};

/// One version of all routes. Immutable once built; a new version replaces the whole table.
struct RouteTable {
  std::uint64_t version = 0;  ///< 0: no configuration is known yet
  base::Duration idle_timeout = std::chrono::seconds(60);
  absl::flat_hash_map<base::SocketAddress, Route> routes;
  absl::flat_hash_map<base::ServiceId, std::string>
      health_check_paths;  ///< of the services that have one
  absl::flat_hash_map<base::ServiceId, WarmUpRate>
      warm_up_rates;  ///< of the services that limit new flows to warming-up endpoints

  absl::flat_hash_map<base::ServiceId, std::vector<RequestClass>>
      classes;  ///< distinct request classes of the routes to each service; see CollectClasses()

  /// Fills `classes` from the routes. Call after all routes have been added.
  void CollectClasses();

  /// Returns the route of a virtual address, or null.
  const Route* Find(const base::SocketAddress& address) const;

  /// Returns the rate of new flows for warming-up endpoints of a service: without a bound if the
  /// configuration sets none, and nothing while no configuration is known.
  std::optional<WarmUpRate> FindWarmUpRate(base::ServiceId service) const;
};

}  // namespace gaugevalve::placement
