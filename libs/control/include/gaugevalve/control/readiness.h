// Whether a node can take traffic (docs/operators/control-plane.md).
#pragma once

#include <string>
#include <vector>

#include "gaugevalve/control/control_node.h"

namespace gaugevalve::control {

// Tells what a starting node still lacks. Once nothing was missing, the node stays ready: a service
// that is added later must not take every balancer out of service at once. Decision core; not
// thread-safe.
class Readiness {
 public:
  // Returns a text for operators for each thing that is missing; nothing if the node is ready.
  std::vector<std::string> Missing(const ControlNode& node);

 private:
  bool was_ready_ = false;
};

}  // namespace gaugevalve::control
