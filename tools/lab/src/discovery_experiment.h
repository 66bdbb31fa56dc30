// How fast balancers that were all lost at once find the agents again, by the size of the
// deployment: the product's cores of gossip, discovery and reports in simulated time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gaugevalve/base/time.h"

namespace gaugevalve::lab {

// What is taken away from the product, to see what it is worth.
struct DiscoveryVariant {
  std::string name;
  bool spreads_rounds = true;  // otherwise agents tell all balancers at once, all in one phase
  bool names_fellows = true;   // agents name others to young balancers
  bool has_store = true;       // it names a part of the agents to who starts
};

struct DiscoverySettings {
  std::size_t balancers = 91;
  std::size_t agents = 204;
  std::size_t agents_per_service = 20;
  std::uint64_t seed = 1;
  base::Duration watched = std::chrono::seconds(20);  // how long the return is looked at, at most
};

struct DiscoveryResult {
  // Until nine in ten of all pairs of a balancer and a service have half of the service's agents
  // heard; the time watched when they never did.
  base::Duration servable{0};
  // Until all agents were heard by nine in ten balancers; the time watched when they never were.
  base::Duration complete{0};
  std::size_t messages_per_balancer = 0;   // sent and received by then, mean
  std::size_t busiest_agents_answers = 0;  // reports sent by one agent by then, most
};

// Returns the product, then what lacks one mechanism each.
const std::vector<DiscoveryVariant>& DiscoveryVariants();

// Runs one return of all balancers, at the addresses they had.
DiscoveryResult RunDiscovery(const DiscoverySettings& settings, const DiscoveryVariant& variant);

}  // namespace gaugevalve::lab
