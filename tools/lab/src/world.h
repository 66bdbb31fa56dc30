// Everything that one run shares: time, machines, the network's latencies and the results.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/simulation/event_queue.h"
#include "hosts.h"
#include "policy.h"
#include "results.h"
#include "scenario.h"

namespace gaugevalve::lab {

// The state of a run. Agents and balancers are never removed. One run has one world.
class World {
 public:
  World(const Scenario& scenario, Policy policy, const Mechanisms& mechanisms);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Adds an agent that starts now; `address` of a former one, or null for a new address.
  AgentHost& AddAgent(std::size_t service, const std::string& zone, bool warm_start,
                      const base::SocketAddress* address);
  BalancerHost& AddBalancer(const std::string& zone);

  // Returns the agent alive at this address, or null.
  AgentHost* AgentAt(const base::SocketAddress& address);
  AgentHost* FindAgent(const std::string& name);
  std::size_t FindService(const std::string& name) const;  // size of services when unknown

  // Returns the part of its capacity that an agent has by its ramp.
  double RampOf(const AgentHost& agent) const;

  base::Duration Latency(const std::string& from_zone, const std::string& to_zone) const;
  void Schedule(base::Duration delay, simulation::EventQueue::Action action);
  base::TimePoint Now() const { return queue.Now(); }
  bool IsBaseline() const;

  // Public data: the parts of a run work on it together.
  Scenario scenario;  // with the planner settings as the mechanisms leave them
  Policy policy;
  Mechanisms mechanisms;
  simulation::EventQueue queue;
  base::RandomSource network_random;  // spraying and delays; arrivals have their own
  std::vector<std::unique_ptr<AgentHost>> agents;
  std::vector<std::unique_ptr<BalancerHost>> balancers;
  std::vector<ServiceResults> results;       // index = service
  std::vector<base::ServiceId> service_ids;  // index = service

  // Returns the virtual address of a service.
  static base::SocketAddress VirtualAddress(std::size_t service);

 private:
  base::Duration DrawTableDelay();

  absl::flat_hash_map<base::SocketAddress, std::size_t> agent_by_address_;
  std::vector<std::uint32_t> agents_started_;  // index = service
};

}  // namespace gaugevalve::lab
