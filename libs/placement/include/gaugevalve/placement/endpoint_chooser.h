/// @file
/// Which endpoint gets a new flow: the one with the least expected load.
#pragma once

#include <span>
#include <string_view>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/agent_directory.h"

namespace gaugevalve::placement {

/// Returns the expected load of an agent's endpoint for one more flow, in units of its capacity at
/// ordinary speed: reported requests, this balancer's own openings since, and its open flows.
/// @param ordinary_answer_time  of the service's endpoints; 0 when not known
double ExpectedLoad(const KnownAgent& agent, base::Duration ordinary_answer_time,
                    base::TimePoint now);

/// Chooses among candidates. Ties within a margin go to the own zone, then by chance.
class EndpointChooser {
 public:
  EndpointChooser(std::string_view own_zone, base::RandomSource& random)
      : m_own_zone(own_zone), m_random(random) {}

  /// @return  the candidate with the least expected load, or null when there is none
  KnownAgent* Choose(std::span<KnownAgent* const> candidates, base::TimePoint now);

 private:
  std::string m_own_zone;
  base::RandomSource& m_random;
};

}  // namespace gaugevalve::placement
