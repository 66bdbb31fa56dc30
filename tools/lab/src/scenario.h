// What an experiment is made of, as read from a YAML file.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/planner_settings.h"

namespace gaugevalve::lab {

// One-way latencies.
struct LatencyScenario {
  base::Duration within_zone = std::chrono::microseconds(250);
  base::Duration between_zones = std::chrono::microseconds(1500);
  base::Duration callers = std::chrono::microseconds(1000);  // between callers and balancers
};

// How long the news of the control plane take.
struct LagScenario {
  // A table reaches each node after a delay of its own, fixed for the run, drawn from this range.
  base::Duration least_table_delay = std::chrono::milliseconds(50);
  base::Duration most_table_delay = std::chrono::seconds(2);
  base::Duration membership = std::chrono::seconds(2);  // a death, a join or a leave is noticed
  base::Duration fabric = std::chrono::seconds(1);      // the fabric stops spraying at a dead one
  base::Duration report_interval = std::chrono::seconds(1);
  base::Duration report = std::chrono::milliseconds(100);  // on top of the network's latency
};

// A service and its workload. Arrivals are Poisson, lengths and service times exponential.
struct ServiceScenario {
  std::string name;
  std::vector<std::string> endpoint_zones;  // one endpoint for each
  std::uint32_t slots = 7;
  std::uint32_t flow_capacity = 2000;
  double flow_arrivals_per_second = 5.0;
  base::Duration mean_flow_length = std::chrono::minutes(5);
  base::Duration keepalive = std::chrono::seconds(30);     // longest silence of a caller
  base::Duration idle_timeout = std::chrono::seconds(90);  // an agent closes a silent flow
  double requests_per_flow_per_second = 0.01;
  // How much flows differ: a flow's rate is the mean times (1 - spread + spread * Exp(1)).
  double rate_spread = 0.0;
  base::Duration mean_service_time = std::chrono::milliseconds(100);
  bool hand_over = false;       // agents may run requests at each other's endpoints
  double hand_over_load = 0.3;  // part of its slots in use from which an agent asks others
  // A freshly started endpoint is slower by this factor, falling to 1 over the cold time.
  double cold_slowdown = 1.0;
  base::Duration cold_time = std::chrono::seconds(30);
  routing::PlannerSettings planner;
};

// Kinds of faults and planned changes.
enum class FaultKind : std::uint8_t {
  kKillBalancer,
  kJoinBalancer,
  kFreezeBalancer,
  kKillAgent,
  kFreezeAgent,  // its process stands still for `length`; its endpoint goes on
  kCutOffAgent,  // for `length` it reaches no planner and no member, but balancers and agents
  kDrainAgent,
  kStartAgent,
  kSetWeight,
  kLoseZone,
  kSlowEndpoint,    // from now on service times are `factor` times as long
  kRecycleAddress,  // kill an agent; its address goes to a new agent of another service at once
};

// One event of the time line.
struct Fault {
  base::Duration at{};
  FaultKind kind = FaultKind::kKillBalancer;
  std::string target;       // "balancer-2", "drawings-1" or a zone; unused for joins and starts
  std::string service;      // of the agent that starts
  std::string zone;         // of what joins or starts
  double weight = 1.0;      // kSetWeight
  double factor = 1.0;      // kSlowEndpoint
  base::Duration length{};  // of a freeze or a cut
};

// A part of the run for which the results are given separately.
struct Phase {
  std::string name;
  base::Duration from{};
  base::Duration to{};
};

// A whole experiment.
struct Scenario {
  std::string name;
  std::uint64_t seed = 1;
  base::Duration duration = std::chrono::minutes(10);
  std::vector<std::string> zones;
  std::vector<std::string> balancer_zones;  // one balancer for each
  LatencyScenario latency;
  LagScenario lag;
  std::vector<ServiceScenario> services;
  std::vector<Fault> faults;
  std::vector<Phase> phases;
};

}  // namespace gaugevalve::lab
