#include "world.h"

#include <algorithm>

#include "gaugevalve/base/hash.h"
#include "gaugevalve/routing/cold_start_ramp.h"

namespace gaugevalve::lab {
namespace {

constexpr std::uint64_t kNetworkStream = 0x6e6574776f726b01;
constexpr std::uint32_t kFirstAgentAddress = 0x7f100001;    // 127.16.0.1
constexpr std::uint32_t kFirstVirtualAddress = 0x7f200001;  // 127.32.0.1
constexpr std::uint16_t kAgentPort = 4000;
constexpr std::uint16_t kServicePort = 443;
constexpr std::size_t kMaglevCacheCapacity = 300'000;

// Returns the planner's settings with the mechanisms that are off taken out.
routing::PlannerSettings Reduced(routing::PlannerSettings planner, const Mechanisms& mechanisms) {
  if (!mechanisms.steering) {
    planner.steering_gain = 0.0;
  }
  if (!mechanisms.ramp) {
    planner.cold_start_ramp = base::Duration::zero();
  }
  if (!mechanisms.zone_preference) {
    planner.preferred_zones.clear();
  }
  if (!mechanisms.damping) {
    planner.smoothing_time = std::chrono::milliseconds(1);
    planner.steering_hysteresis = 0.0;
    planner.assignment_hysteresis = 0.0;
    planner.max_moves_per_step = UINT32_MAX;
    planner.max_moves_per_minute = UINT32_MAX;
  }
  return planner;
}

}  // namespace

World::World(const Scenario& given, Policy chosen, const Mechanisms& chosen_mechanisms)
    : scenario(given),
      policy(chosen),
      mechanisms(chosen_mechanisms),
      network_random(base::HashPair(given.seed, kNetworkStream)),
      agents_started_(given.services.size(), 0) {
  for (ServiceScenario& service : scenario.services) {
    service.planner = Reduced(service.planner, mechanisms);
    service_ids.push_back(base::MakeServiceId(service.name));
    ServiceResults& result = results.emplace_back();
    result.name = service.name;
  }
  for (const std::string& zone : scenario.balancer_zones) {
    AddBalancer(zone);
  }
  for (std::size_t service = 0; service < scenario.services.size(); ++service) {
    for (const std::string& zone : scenario.services[service].endpoint_zones) {
      AddAgent(service, zone, true, nullptr);
    }
  }
}

bool World::IsBaseline() const {
  return policy != Policy::kGaugevalve && policy != Policy::kOmniscient;
}

base::Duration World::DrawTableDelay() {
  return scenario.lag.least_table_delay +
         network_random.NextJitter(scenario.lag.most_table_delay - scenario.lag.least_table_delay);
}

base::SocketAddress World::VirtualAddress(std::size_t service) {
  return base::SocketAddress::Ipv4(kFirstVirtualAddress + static_cast<std::uint32_t>(service),
                                   kServicePort);
}

AgentHost& World::AddAgent(std::size_t service, const std::string& zone, bool warm_start,
                           const base::SocketAddress* address) {
  const ServiceScenario& settings = scenario.services[service];
  auto agent = std::make_unique<AgentHost>();
  agent->index = agents.size();
  agent->service = service;
  ++agents_started_[service];
  agent->name = settings.name + "-" + std::to_string(agents_started_[service]);
  agent->zone = zone;
  agent->node = base::MakeNodeId(agent->name);
  agent->incarnation = base::Incarnation(agent->index + 1);
  agent->address =
      address != nullptr
          ? *address
          : base::SocketAddress::Ipv4(kFirstAgentAddress + static_cast<std::uint32_t>(agent->index),
                                      kAgentPort);
  agent->started_at = Now();
  agent->reported_at = Now();
  agent->warm_start = warm_start;
  agent->table_delay = DrawTableDelay();
  agent->table.service = service_ids[service];
  control::AgentReporterOptions reports;
  reports.interval = scenario.lag.report_interval;
  agent->reporter = control::AgentReporter(reports);

  flow::FlowCoreSettings core_settings;
  core_settings.table.capacity = settings.flow_capacity;
  core_settings.table.idle_timeout = settings.idle_timeout;
  const flow::AgentIdentity identity{agent->node, agent->incarnation, service_ids[service]};
  agent->core = std::make_unique<flow::FlowCore>(identity, core_settings);

  EndpointCapacity capacity;
  capacity.slots = settings.slots;
  capacity.cold_slowdown = warm_start ? 1.0 : settings.cold_slowdown;
  capacity.cold_time = settings.cold_time;
  agent->endpoint =
      std::make_unique<Endpoint>(queue, capacity, Now(), [this, service](base::Duration wait) {
        results[service].waits.push_back({Now() - base::TimePoint{}, wait});
      });
  agent_by_address_[agent->address] = agent->index;
  agents.push_back(std::move(agent));
  return *agents.back();
}

BalancerHost& World::AddBalancer(const std::string& zone) {
  auto balancer = std::make_unique<BalancerHost>();
  balancer->index = balancers.size();
  balancer->zone = zone;
  balancer->started_at = Now();
  balancer->table_delay = DrawTableDelay();
  balancer->core =
      std::make_unique<forwarding::ForwardingCore>(flow::SourceLimiterSettings{}, nullptr);
  for (std::size_t service = 0; service < scenario.services.size(); ++service) {
    routing::BucketTable table;
    table.service = service_ids[service];
    balancer->tables.push_back(table);
    if (IsBaseline()) {
      const auto kind = static_cast<routing::ChooserKind>(static_cast<int>(policy) -
                                                          static_cast<int>(Policy::kModulo));
      const std::uint64_t seed = base::HashPair(scenario.seed, balancer->index);
      balancer->choosers.push_back(routing::MakeFlowChooser(kind, seed, kMaglevCacheCapacity));
    }
  }
  balancers.push_back(std::move(balancer));
  return *balancers.back();
}

AgentHost* World::AgentAt(const base::SocketAddress& address) {
  const auto found = agent_by_address_.find(address);
  if (found == agent_by_address_.end() || !agents[found->second]->alive) {
    return nullptr;
  }
  return agents[found->second].get();
}

AgentHost* World::FindAgent(const std::string& name) {
  for (const std::unique_ptr<AgentHost>& agent : agents) {
    if (agent->name == name) {
      return agent.get();
    }
  }
  return nullptr;
}

std::size_t World::FindService(const std::string& name) const {
  const auto found =
      std::find_if(scenario.services.begin(), scenario.services.end(),
                   [&](const ServiceScenario& service) { return service.name == name; });
  return static_cast<std::size_t>(found - scenario.services.begin());
}

double World::RampOf(const AgentHost& agent) const {
  if (agent.warm_start) {
    return 1.0;
  }
  const routing::PlannerSettings& planner = scenario.services[agent.service].planner;
  const routing::ColdStartRamp ramp(planner.cold_start_ramp, planner.cold_start_steps);
  return ramp.FractionAt(Now() - agent.started_at);
}

base::Duration World::Latency(const std::string& from_zone, const std::string& to_zone) const {
  return from_zone == to_zone ? scenario.latency.within_zone : scenario.latency.between_zones;
}

void World::Schedule(base::Duration delay, simulation::EventQueue::Action action) {
  queue.Schedule(Now() + delay, std::move(action));
}

}  // namespace gaugevalve::lab
