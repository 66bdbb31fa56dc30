#include "gaugevalve/routing/load_steering.h"

#include <algorithm>
#include <cmath>

namespace gaugevalve::routing {
namespace {

// Bounds of the factor by which an agent's share is scaled, whatever the reports say.
constexpr double kMinShareFactor = 0.1;
constexpr double kMaxShareFactor = 3.0;

// An agent gets no new flows at or above this part of its flow capacity.
constexpr double kFullFlowUtilisation = 0.95;

// Returns the mean utilisation, weighted by share and report weight; 0 if no report has weight.
double MeanUtilisation(std::span<const AgentView> agents, std::span<const double> shares) {
  double sum = 0.0;
  double weight = 0.0;
  for (std::size_t position = 0; position < agents.size(); ++position) {
    const double weighted_share = shares[position] * agents[position].report_weight;
    sum += agents[position].utilisation * weighted_share;
    weight += weighted_share;
  }
  return weight > 0.0 ? sum / weight : 0.0;
}

bool IsFull(const AgentView& agent) { return agent.flow_utilisation >= kFullFlowUtilisation; }

}  // namespace

double LoadSteering::Factor(const AgentView& agent, double mean_utilisation) const {
  const double deviation = (mean_utilisation - agent.utilisation) / mean_utilisation;
  const double beyond_noise = std::max(0.0, std::abs(deviation) - hysteresis_);
  const double correction = gain_ * agent.report_weight * std::copysign(beyond_noise, deviation);
  return std::clamp(1.0 + correction, kMinShareFactor, kMaxShareFactor);
}

void LoadSteering::Adjust(std::span<const AgentView> agents, base::TimePoint /*now*/,
                          std::span<double> shares) {
  const double mean = MeanUtilisation(agents, shares);
  const bool all_full = std::all_of(agents.begin(), agents.end(), IsFull);
  for (std::size_t position = 0; position < agents.size(); ++position) {
    if (IsFull(agents[position]) && !all_full) {
      shares[position] = 0.0;
    } else if (mean > 0.0) {
      shares[position] *= Factor(agents[position], mean);
    }
  }
}

}  // namespace gaugevalve::routing
