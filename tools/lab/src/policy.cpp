#include "policy.h"

#include <stdexcept>

namespace gaugevalve::lab {

std::string_view ToString(Policy policy) {
  switch (policy) {
    case Policy::kGaugevalve:
      return "gaugevalve";
    case Policy::kModulo:
      return "modulo";
    case Policy::kMaglev:
      return "maglev";
    case Policy::kRendezvous:
      return "rendezvous";
    case Policy::kRandom:
      return "random";
    case Policy::kOmniscient:
      return "omniscient";
  }
  throw std::invalid_argument("unknown policy");
}

std::vector<Variant> AblationVariants() {
  return {{"all", {}},
          {"no_chain_walk", {.chain_walk = false}},
          {"no_steering", {.steering = false}},
          {"no_ramp", {.ramp = false}},
          {"no_damping", {.damping = false}},
          {"no_zone_preference", {.zone_preference = false}},
          {"no_hand_over", {.hand_over = false}}};
}

}  // namespace gaugevalve::lab
