#include "callers.h"

#include <algorithm>

#include "data_path.h"
#include "gaugevalve/base/hash.h"
#include "request_runner.h"

namespace gaugevalve::lab {
namespace {

constexpr std::uint64_t kArrivalStream = 0x6172726976616c01;
constexpr std::uint64_t kFlowStream = 0x666c6f7700000001;

// First pause of a caller before it sends again; it doubles with each attempt.
constexpr base::Duration kFirstRetryPause = std::chrono::milliseconds(250);

// Pause of a caller whose flow broke before it opens another.
constexpr base::Duration kReopenPause = std::chrono::milliseconds(100);

base::Duration Exponential(base::RandomSource& random, base::Duration mean) {
  const double drawn = random.NextExponential(static_cast<double>(mean.count()));
  return base::Duration(static_cast<base::Duration::rep>(drawn));
}

base::Duration FromRate(double per_second) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return base::Duration(static_cast<base::Duration::rep>(kMicrosecondsPerSecond / per_second));
}

}  // namespace

Callers::Callers(World& world) : world_(world), arrived_(world.scenario.services.size(), 0) {
  for (std::size_t service = 0; service < world.scenario.services.size(); ++service) {
    arrivals_.emplace_back(
        base::HashPair(base::HashPair(world.scenario.seed, kArrivalStream), service));
  }
}

void Callers::Connect(DataPath& data_path, RequestRunner& requests) {
  data_path_ = &data_path;
  requests_ = &requests;
}

void Callers::Start() {
  for (std::size_t service = 0; service < arrivals_.size(); ++service) {
    const base::Duration gap = FromRate(world_.scenario.services[service].flow_arrivals_per_second);
    world_.Schedule(Exponential(arrivals_[service], gap), [this, service] { Arrive(service); });
  }
}

wire::FlowKey Callers::KeyOf(std::uint64_t flow_id, const Flow& flow) {
  constexpr std::uint32_t kCallers = 0x0a000000;  // 10.0.0.0/8, in memory only
  constexpr std::uint32_t kCallerMask = 0x00ffffff;
  constexpr std::uint16_t kFirstPort = 10'000;
  const auto host = static_cast<std::uint32_t>(flow_id) & kCallerMask;
  const auto port = static_cast<std::uint16_t>(kFirstPort + flow.generation);
  return {base::SocketAddress::Ipv4(kCallers + host, port), World::VirtualAddress(flow.service)};
}

void Callers::Arrive(std::size_t service) {
  const ServiceScenario& settings = world_.scenario.services[service];
  const base::Duration gap = FromRate(settings.flow_arrivals_per_second);
  world_.Schedule(Exponential(arrivals_[service], gap), [this, service] { Arrive(service); });

  // The stream of a flow depends on its number within the service, not on what else happened.
  const std::uint64_t stream = base::HashPair(
      base::HashPair(world_.scenario.seed, kFlowStream + service), arrived_[service]);
  ++arrived_[service];
  const std::uint64_t flow_id = next_flow_++;
  Flow& flow = flows_.try_emplace(flow_id, service, stream).first->second;
  const base::Duration length = Exponential(flow.random, settings.mean_flow_length);
  flow.requests_per_second =
      settings.requests_per_flow_per_second *
      (1.0 - settings.rate_spread + settings.rate_spread * flow.random.NextExponential(1.0));
  world_.Schedule(length, [this, flow_id] { End(flow_id); });
  SendNext(flow_id);
}

void Callers::SendNext(std::uint64_t flow_id) {
  const auto found = flows_.find(flow_id);
  if (found == flows_.end()) {
    return;
  }
  Flow& flow = found->second;
  const ServiceScenario& settings = world_.scenario.services[flow.service];
  const base::Duration to_request = Exponential(flow.random, FromRate(flow.requests_per_second));
  const base::Duration service_time = Exponential(flow.random, settings.mean_service_time);
  // Poisson gaps have no memory: after a keep-alive the wait for the next request starts anew.
  const bool is_request = to_request < settings.keepalive;
  SendPacket(flow_id, flow, is_request, service_time);
  world_.Schedule(std::min(to_request, settings.keepalive), [this, flow_id] { SendNext(flow_id); });
}

void Callers::SendPacket(std::uint64_t flow_id, Flow& flow, bool is_request,
                         base::Duration service_time) {
  if (!flow.home) {
    flow.asked_at = flow.asked_at.value_or(world_.Now());
  }
  Packet packet;
  packet.flow = flow_id;
  packet.generation = flow.generation;
  packet.service = flow.service;
  packet.key = KeyOf(flow_id, flow);
  packet.is_request = is_request;
  packet.service_time = service_time;
  world_.results[flow.service].requests_offered += is_request ? 1 : 0;
  data_path_->Send(packet);
}

void Callers::End(std::uint64_t flow_id) {
  const auto found = flows_.find(flow_id);
  LeaveHome(found->second);
  flows_.erase(found);
}

void Callers::LeaveHome(Flow& flow) {
  if (flow.home) {
    --world_.agents[*flow.home]->open_flows;
    flow.home.reset();
  }
}

void Callers::NoteWait(Flow& flow, const Packet& packet) {
  const base::Duration wait = world_.Now() - flow.asked_at.value_or(world_.Now());
  flow.asked_at.reset();
  ServiceResults& results = world_.results[flow.service];
  results.longest_open_wait = std::max(results.longest_open_wait, wait);
  if (packet.attempt > 0) {
    ++results.flows_opened_late;
    results.late_opens_wait += wait;
  }
}

void Callers::SettleAt(Flow& flow, AgentHost& agent, const Packet& packet) {
  NoteWait(flow, packet);
  flow.home = agent.index;
  ++agent.open_flows;
  ServiceResults& results = world_.results[flow.service];
  ++results.flows_opened;
  results.flows_opened_unlisted += world_.policy == Policy::kGaugevalve && !agent.listed ? 1 : 0;
  if (agent.draining) {
    results.last_new_flow_after_drain =
        std::max(results.last_new_flow_after_drain, world_.Now() - agent.draining_since);
  }
}

void Callers::Break(std::uint64_t flow_id, Flow& flow, const std::string& cause) {
  ++world_.results[flow.service].broken[cause];
  LeaveHome(flow);
  ++flow.generation;
  const std::uint32_t generation = flow.generation;
  world_.Schedule(kReopenPause, [this, flow_id, generation] {
    const auto found = flows_.find(flow_id);
    if (found != flows_.end() && found->second.generation == generation) {
      SendPacket(flow_id, found->second, false, base::Duration::zero());
    }
  });
}

Callers::Flow* Callers::Find(const Packet& packet) {
  const auto found = flows_.find(packet.flow);
  const bool current = found != flows_.end() && found->second.generation == packet.generation;
  return current ? &found->second : nullptr;
}

void Callers::OnAgentKilled(const AgentHost& agent) {
  for (auto& [flow_id, flow] : flows_) {
    if (flow.home == agent.index) {
      Break(flow_id, flow, "agent_killed");
    }
  }
}

void Callers::OnServed(const Packet& packet, AgentHost& agent, bool opened) {
  const bool wrong_service = agent.service != packet.service;
  world_.results[packet.service].wrong_service += wrong_service ? 1 : 0;
  Flow* flow = Find(packet);
  if (flow == nullptr) {
    return;  // the caller has ended this flow meanwhile
  }
  if (wrong_service) {
    Break(packet.flow, *flow, "wrong_service");
    return;
  }
  if (!flow->home) {
    SettleAt(*flow, agent, packet);
  } else if (flow->home != agent.index) {
    const bool taken_for_dead = world_.agents[*flow->home]->was_taken_for_dead;
    Break(packet.flow, *flow, taken_for_dead ? "agent_taken_for_dead" : "reached_another_agent");
    return;
  } else if (opened && world_.policy == Policy::kGaugevalve) {
    Break(packet.flow, *flow, "closed_by_its_agent");
    return;
  }
  if (packet.is_request && !packet.is_late_copy) {
    requests_->Run(agent, packet.service_time);
  }
}

std::optional<std::size_t> Callers::HomeOf(const Packet& packet) {
  const Flow* flow = Find(packet);
  return flow != nullptr ? flow->home : std::nullopt;
}

void Callers::OnLost(const Packet& packet, std::string_view cause) {
  Flow* flow = Find(packet);
  if (flow == nullptr || packet.is_late_copy) {
    return;
  }
  ++world_.results[packet.service].retries[std::string(cause)];
  if (packet.attempt + 1 < kMostAttempts) {
    Resend(packet);
  } else if (flow->home) {
    Break(packet.flow, *flow, "unreachable_" + std::string(cause));
  } else {
    ++world_.results[packet.service].flows_refused;
  }
}

void Callers::Resend(Packet packet) {
  const base::Duration pause = kFirstRetryPause * (1 << packet.attempt);
  ++packet.attempt;
  world_.Schedule(pause, [this, packet] {
    if (Find(packet) != nullptr) {
      data_path_->Send(packet);
    }
  });
}

}  // namespace gaugevalve::lab
