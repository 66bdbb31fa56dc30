/// @file
/// Choice of the endpoint for a new flow by least expected load.
#pragma once

#include <span>
#include <string_view>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/agent_directory.h"

namespace gaugevalve::placement {

/// Returns the expected load of an agent's endpoint with one more flow, relative to its capacity at
/// normal speed. Counts the reported requests, this balancer's openings since the report and the
/// open flows.
/// @param typical_answer_time  typical answer time of the service's endpoints; 0 if unknown
double ExpectedLoad(const KnownAgent& agent, base::Duration typical_answer_time,
                    base::TimePoint now);

/// Chooses among candidates. Candidates in the balancer's own zone have a small advantage, and near
/// ties are broken at random.
class EndpointChooser {
 public:
  EndpointChooser(std::string_view own_zone, base::RandomSource& random)
      : m_own_zone(own_zone), m_random(random) {}

  /// @return  the candidate with the least expected load, or null if there is none
  KnownAgent* Choose(std::span<KnownAgent* const> candidates, base::TimePoint now);

 private:
  std::string m_own_zone;
  base::RandomSource& m_random;
};

}  // namespace gaugevalve::placement
