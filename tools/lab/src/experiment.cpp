#include "experiment.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::lab {
namespace {

constexpr std::string_view kBalancerPrefix = "balancer-";

[[noreturn]] void ThrowUnknown(const Fault& fault, const std::string& name) {
  base::SourcePlace place;
  place.path = "faults";
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(fault.at).count();
  throw base::FindingsError(
      {{place, "the fault at " + std::to_string(seconds) + " s names what isn't there: " + name}});
}

}  // namespace

Experiment::Experiment(const Scenario& scenario, Policy policy, const Mechanisms& mechanisms)
    : world_(scenario, policy, mechanisms),
      callers_(world_),
      data_path_(world_, callers_),
      requests_(world_),
      baseline_(world_) {
  callers_.Connect(data_path_, requests_);
  if (policy == Policy::kGaugevalve) {
    for (std::size_t service = 0; service < scenario.services.size(); ++service) {
      planners_.push_back(std::make_unique<PlannerHost>(world_, service));
    }
  }
}

RunResults Experiment::Run(const Progress& progress) {
  for (const std::unique_ptr<PlannerHost>& planner : planners_) {
    planner->Start();
  }
  baseline_.Start();
  callers_.Start();
  for (const Fault& fault : world_.scenario.faults) {
    world_.Schedule(fault.at, [this, fault] { Play(fault); });
  }
  for (base::Duration passed = kWindow; passed <= world_.scenario.duration; passed += kWindow) {
    while (world_.queue.RunNext(base::TimePoint(passed))) {
    }
    TakeSamples();
    progress(passed);
  }
  RunResults run;
  run.scenario = world_.scenario.name;
  run.policy = ToString(world_.policy);
  run.seed = world_.scenario.seed;
  run.services = world_.results;
  run.events = world_.queue.executed();
  std::vector<const ControlCounters*> balancers;
  for (const std::unique_ptr<BalancerHost>& balancer : world_.balancers) {
    balancers.push_back(&balancer->control);
  }
  std::vector<const ControlCounters*> agents;
  for (const std::unique_ptr<AgentHost>& agent : world_.agents) {
    agents.push_back(&agent->control);
  }
  run.balancers = TrafficOf(balancers);
  run.agents = TrafficOf(agents);
  return run;
}

ControlTraffic Experiment::TrafficOf(const std::vector<const ControlCounters*>& counters) const {
  const double seconds = std::chrono::duration<double>(world_.scenario.duration).count();
  const auto nodes = static_cast<double>(counters.size());
  ControlTraffic traffic;
  for (const ControlCounters* node : counters) {
    const double bytes_per_second = static_cast<double>(node->bytes) / seconds;
    traffic.mean_bytes_per_second += bytes_per_second / nodes;
    traffic.most_bytes_per_second = std::max(traffic.most_bytes_per_second, bytes_per_second);
    traffic.mean_messages_per_second += static_cast<double>(node->messages) / seconds / nodes;
  }
  return traffic;
}

AgentHost& Experiment::AgentOf(const Fault& fault) {
  AgentHost* agent = world_.FindAgent(fault.target);
  if (agent == nullptr) {
    ThrowUnknown(fault, fault.target);
  }
  return *agent;
}

std::size_t Experiment::BalancerOf(const Fault& fault) const {
  for (const std::unique_ptr<BalancerHost>& balancer : world_.balancers) {
    if (fault.target == std::string(kBalancerPrefix) + std::to_string(balancer->index + 1)) {
      return balancer->index;
    }
  }
  ThrowUnknown(fault, fault.target);
}

std::size_t Experiment::ServiceOf(const Fault& fault) const {
  const std::size_t service = world_.FindService(fault.service);
  if (service == world_.scenario.services.size()) {
    ThrowUnknown(fault, fault.service);
  }
  return service;
}

void Experiment::Play(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kKillBalancer:
      KillBalancer(BalancerOf(fault));
      return;
    case FaultKind::kJoinBalancer:
      JoinBalancer(fault.zone);
      return;
    case FaultKind::kFreezeBalancer:
      FreezeBalancer(BalancerOf(fault), fault.length);
      return;
    case FaultKind::kKillAgent:
      KillAgent(AgentOf(fault));
      return;
    case FaultKind::kFreezeAgent:
      FreezeAgent(AgentOf(fault), fault.length);
      return;
    case FaultKind::kCutOffAgent:
      CutOffAgent(AgentOf(fault), fault.length);
      return;
    case FaultKind::kDrainAgent:
      DrainAgent(AgentOf(fault));
      return;
    case FaultKind::kStartAgent:
      StartAgent(ServiceOf(fault), fault.zone, nullptr);
      return;
    case FaultKind::kSetWeight:
      AgentOf(fault).weight = fault.weight;
      NoteAgent(AgentOf(fault));
      return;
    case FaultKind::kSlowEndpoint:
      AgentOf(fault).endpoint->SetSlowness(fault.factor);
      return;
    case FaultKind::kLoseZone:
      LoseZone(fault.target);
      return;
    case FaultKind::kRecycleAddress: {
      AgentHost& agent = AgentOf(fault);
      KillAgent(agent);
      StartAgent(ServiceOf(fault), agent.zone, &agent.address);
      return;
    }
  }
}

void Experiment::KillBalancer(std::size_t index) {
  world_.balancers[index]->alive = false;
  world_.Schedule(world_.scenario.lag.fabric,
                  [this, index] { data_path_.RemoveFromFabric(index); });
}

void Experiment::JoinBalancer(const std::string& zone) {
  BalancerHost& balancer = world_.AddBalancer(zone);
  if (world_.IsBaseline()) {
    baseline_.Welcome(balancer);
  }
  for (const std::unique_ptr<PlannerHost>& planner : planners_) {
    planner->Welcome(balancer);
  }
  const std::size_t index = balancer.index;
  world_.Schedule(world_.scenario.lag.fabric, [this, index] { data_path_.AddToFabric(index); });
}

void Experiment::FreezeBalancer(std::size_t index, base::Duration length) {
  world_.balancers[index]->frozen = true;
  world_.Schedule(world_.scenario.lag.fabric,
                  [this, index] { data_path_.RemoveFromFabric(index); });
  world_.Schedule(length, [this, index] { ThawBalancer(index); });
}

void Experiment::ThawBalancer(std::size_t index) {
  BalancerHost& balancer = *world_.balancers[index];
  balancer.frozen = false;
  data_path_.Thaw(balancer);
  for (const std::unique_ptr<PlannerHost>& planner : planners_) {
    planner->OnThaw(balancer);
  }
  world_.Schedule(world_.scenario.lag.fabric, [this, index] { data_path_.AddToFabric(index); });
}

void Experiment::NoteAgent(AgentHost& agent) {
  if (world_.IsBaseline()) {
    baseline_.NoteChange(agent.service);
  } else if (!planners_.empty()) {
    planners_[agent.service]->NoteAgent(agent);
  }
}

void Experiment::KillAgent(AgentHost& agent) {
  agent.alive = false;
  agent.endpoint->Kill();
  callers_.OnAgentKilled(agent);
  NoteAgent(agent);
}

void Experiment::FreezeAgent(AgentHost& agent, base::Duration length) {
  agent.frozen = true;
  NoteAgent(agent);
  world_.Schedule(length, [this, &agent] {
    agent.frozen = false;
    data_path_.Thaw(agent);
    NoteAgent(agent);
  });
}

void Experiment::CutOffAgent(AgentHost& agent, base::Duration length) {
  agent.cut_off = true;
  NoteAgent(agent);
  world_.Schedule(length, [this, &agent] {
    agent.cut_off = false;
    NoteAgent(agent);
  });
}

void Experiment::DrainAgent(AgentHost& agent) {
  agent.draining = true;
  agent.draining_since = world_.Now();
  agent.core->StartDraining(world_.Now());
  NoteAgent(agent);
}

void Experiment::StartAgent(std::size_t service, const std::string& zone,
                            const base::SocketAddress* address) {
  AgentHost& agent = world_.AddAgent(service, zone, false, address);
  for (const std::unique_ptr<PlannerHost>& planner : planners_) {
    if (planner == planners_[service]) {
      planner->Welcome(agent);
    }
  }
  NoteAgent(agent);
}

void Experiment::LoseZone(const std::string& zone) {
  for (const std::unique_ptr<BalancerHost>& balancer : world_.balancers) {
    if (balancer->alive && balancer->zone == zone) {
      KillBalancer(balancer->index);
    }
  }
  for (const std::unique_ptr<AgentHost>& agent : world_.agents) {
    if (agent->alive && agent->zone == zone) {
      KillAgent(*agent);
    }
  }
}

void Experiment::TakeSamples() {
  const double window_seconds = std::chrono::duration<double>(kWindow).count();
  busy_before_.resize(world_.agents.size(), 0.0);
  std::vector<WindowSample> windows(world_.results.size());
  for (const std::unique_ptr<AgentHost>& agent : world_.agents) {
    const double busy = agent->endpoint->BusySlotSeconds();
    AgentSample sample;
    sample.agent = agent->name;
    sample.busy_slots = (busy - busy_before_[agent->index]) / window_seconds;
    sample.utilisation = sample.busy_slots / agent->endpoint->TotalSlots();
    sample.ramp = world_.RampOf(*agent);
    sample.open_flows = agent->open_flows;
    sample.serving = agent->IsServing() && world_.Now() - agent->started_at >= kWindow;
    busy_before_[agent->index] = busy;
    windows[agent->service].agents.push_back(sample);
  }
  for (std::size_t service = 0; service < windows.size(); ++service) {
    ServiceResults& results = world_.results[service];
    windows[service].end = world_.Now() - base::TimePoint{};
    windows[service].broken_flows = results.BrokenInAll();
    windows[service].moved_buckets = results.moved_buckets;
    results.windows.push_back(std::move(windows[service]));
  }
}

}  // namespace gaugevalve::lab
