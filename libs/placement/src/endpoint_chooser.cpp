#include "gaugevalve/placement/endpoint_chooser.h"

#include <algorithm>
#include <vector>

namespace gaugevalve::placement {
namespace {

// Weight of the current number of requests in the load. The average number has the remaining
// weight.
constexpr double kCurrentWeight = 0.5;
// Weight of an open flow without a request, relative to a request, because it may send one at any
// time.
constexpr double kIdleFlowWeight = 0.05;
// Factor on the load of a cold endpoint.
constexpr double kColdFactor = 1.6;
// An endpoint counts as slow if its answers take at least this multiple of the service's typical
// time.
constexpr double kSlowRatio = 1.3;
// Weight of this balancer's recent openings, for a small preference for endpoints that it has used
// less.
constexpr double kShareWeight = 0.02;
// Advantage of the balancer's own zone, relative to an endpoint's capacity.
constexpr double kZoneMargin = 0.04;
constexpr double kRandomMargin = 0.02;

double SlowdownFactor(const KnownAgent& agent, base::Duration typical) {
  if (typical.count() <= 0 || agent.report.load.answer_time.count() <= 0) {
    return 1;
  }
  const double ratio = static_cast<double>(agent.report.load.answer_time.count()) /
                       static_cast<double>(typical.count());
  return ratio > kSlowRatio ? ratio : 1;
}

base::Duration MedianAnswerTime(std::span<KnownAgent* const> candidates) {
  std::vector<base::Duration> times;
  for (const KnownAgent* agent : candidates) {
    if (agent->report.load.answer_time.count() > 0) {
      times.push_back(agent->report.load.answer_time);
    }
  }
  if (times.empty()) {
    return base::Duration(0);
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

}  // namespace

double ExpectedLoad(const KnownAgent& agent, base::Duration typical_answer_time,
                    base::TimePoint now) {
  const EndpointLoad& load = agent.report.load;
  const double present = load.busy * kCurrentWeight + load.busy_average * (1 - kCurrentWeight);
  double requests = present + agent.placed_since_report + kIdleFlowWeight * load.open_flows + 1;
  if (load.warm_up_left > now - agent.updated_at) {
    requests *= kColdFactor;
  }
  requests *= SlowdownFactor(agent, typical_answer_time);
  return requests / std::max(1U, load.capacity) + kShareWeight * agent.placed_share;
}

KnownAgent* EndpointChooser::Choose(std::span<KnownAgent* const> candidates, base::TimePoint now) {
  const base::Duration typical = MedianAnswerTime(candidates);
  KnownAgent* best = nullptr;
  double best_load = 0;
  for (KnownAgent* agent : candidates) {
    const bool is_same_zone = agent->report.zone == m_own_zone;
    const double load = ExpectedLoad(*agent, typical, now) + (is_same_zone ? 0 : kZoneMargin) +
                        kRandomMargin * m_random.NextUnit();
    if (best == nullptr || load < best_load) {
      best = agent;
      best_load = load;
    }
  }
  return best;
}

}  // namespace gaugevalve::placement
