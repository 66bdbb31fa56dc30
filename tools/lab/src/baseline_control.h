// The control plane of the baselines: each balancer learns the list of agents by itself.
#pragma once

#include "world.h"

namespace gaugevalve::lab {

// Gives every balancer the list of serving agents, after the membership's lag and the balancer's
// own delay, which are the same as for the product's tables.
class BaselineControl {
 public:
  explicit BaselineControl(World& world) : world_(world) {}

  // Gives all balancers the present list at once.
  void Start();

  // Spreads the present list of the service.
  void NoteChange(std::size_t service);

  // Gives a balancer that joined the present lists.
  void Welcome(BalancerHost& balancer);

 private:
  std::vector<base::NodeId> Serving(std::size_t service) const;

  World& world_;
};

}  // namespace gaugevalve::lab
