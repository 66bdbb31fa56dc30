// What is compared: the product, the baselines and the bound; and the mechanisms to switch off.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace gaugevalve::lab {

// How flows find their agents in a run.
enum class Policy : std::uint8_t {
  kGaugevalve,  // the planner, the agents' flow cores and the balancers' forwarding cores
  kModulo,
  kMaglev,
  kRendezvous,
  kRandom,
  kOmniscient,  // bound: each new flow and each request goes to the least loaded endpoint, known
                // without delay
};

inline constexpr Policy kAllPolicies[] = {Policy::kGaugevalve, Policy::kModulo,
                                          Policy::kMaglev,     Policy::kRendezvous,
                                          Policy::kRandom,     Policy::kOmniscient};

// Returns the policy's name in reports.
std::string_view ToString(Policy policy);

// Mechanisms of kGaugevalve that an ablation switches off one by one.
struct Mechanisms {
  bool chain_walk = true;  // new owners ask previous ones
  bool steering = true;
  bool ramp = true;
  bool damping = true;  // smoothing, hysteresis and the bound on moves
  bool zone_preference = true;
  bool hand_over = true;  // requests run at another agent's endpoint
};

// One run of an ablation.
struct Variant {
  std::string_view name;
  Mechanisms mechanisms;
};

// Returns "all" and each mechanism switched off.
std::vector<Variant> AblationVariants();

}  // namespace gaugevalve::lab
