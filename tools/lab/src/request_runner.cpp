#include "request_runner.h"

#include <algorithm>

namespace gaugevalve::lab {
namespace {

constexpr std::size_t kAskedAgents = 2;

}  // namespace

double RequestRunner::LoadOf(const AgentHost& agent) const {
  return agent.endpoint->Load() / world_.RampOf(agent);
}

std::vector<std::size_t> RequestRunner::ServingOthers(const AgentHost& agent) const {
  std::vector<std::size_t> others;
  for (const std::unique_ptr<AgentHost>& other : world_.agents) {
    if (other->service == agent.service && other->index != agent.index && other->IsServing()) {
      others.push_back(other->index);
    }
  }
  return others;
}

void RequestRunner::Run(AgentHost& agent, base::Duration service_time) {
  ++world_.results[agent.service].requests;
  if (world_.policy == Policy::kOmniscient) {
    RunAtLeastLoaded(agent, service_time);
    return;
  }
  const ServiceScenario& settings = world_.scenario.services[agent.service];
  const bool may_hand_over =
      world_.policy == Policy::kGaugevalve && world_.mechanisms.hand_over && settings.hand_over;
  const bool wants_to = agent.draining || LoadOf(agent) >= settings.hand_over_load;
  if (may_hand_over && wants_to) {
    HandOver(agent, service_time);
  } else {
    RunHere(agent, service_time);
  }
}

// Equal endpoints are taken from a random place on, so that none is favoured.
void RequestRunner::RunAtLeastLoaded(AgentHost& agent, base::Duration service_time) {
  std::vector<std::size_t> serving = ServingOthers(agent);
  if (agent.IsServing()) {
    serving.push_back(agent.index);
  }
  AgentHost* best = nullptr;
  const std::uint64_t offset =
      serving.empty() ? 0 : world_.network_random.NextBelow(serving.size());
  for (std::size_t position = 0; position < serving.size(); ++position) {
    AgentHost* other = world_.agents[serving[(position + offset) % serving.size()]].get();
    if (best == nullptr || LoadOf(*other) < LoadOf(*best)) {
      best = other;
    }
  }
  RunHere(best != nullptr ? *best : agent, service_time);
}

void RequestRunner::RunHere(AgentHost& agent, base::Duration service_time) {
  if (agent.draining) {
    ServiceResults& results = world_.results[agent.service];
    results.last_request_after_drain =
        std::max(results.last_request_after_drain, world_.Now() - agent.draining_since);
  }
  agent.endpoint->Run(service_time);
}

void RequestRunner::HandOver(AgentHost& agent, base::Duration service_time) {
  std::vector<std::size_t> asked = ServingOthers(agent);
  while (asked.size() > kAskedAgents) {
    const std::uint64_t left_out = world_.network_random.NextBelow(asked.size());
    asked.erase(asked.begin() + static_cast<std::ptrdiff_t>(left_out));
  }
  base::Duration round_trip{};
  for (const std::size_t other : asked) {
    round_trip = std::max(round_trip, 2 * world_.Latency(agent.zone, world_.agents[other]->zone));
  }
  world_.Schedule(round_trip,
                  [this, &agent, asked, service_time] { Settle(agent, asked, service_time); });
}

void RequestRunner::Settle(AgentHost& agent, const std::vector<std::size_t>& asked,
                           base::Duration service_time) {
  AgentHost* best = agent.IsServing() ? &agent : nullptr;
  for (const std::size_t index : asked) {
    AgentHost* other = world_.agents[index].get();
    if (other->IsServing() && (best == nullptr || LoadOf(*other) < LoadOf(*best))) {
      best = other;
    }
  }
  if (best == nullptr) {
    best = &agent;  // nobody else: the work is done here, draining or not
  }
  world_.results[agent.service].handed_over += best == &agent ? 0 : 1;
  RunHere(*best, service_time);
}

}  // namespace gaugevalve::lab
