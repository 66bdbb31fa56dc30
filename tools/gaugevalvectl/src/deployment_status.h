// The statuses of many nodes put together.
#pragma once

#include <string>
#include <vector>

#include "node_status.h"

namespace gaugevalve::ctl {

// A node that was asked and gave no usable status.
struct SilentNode {
  std::string name;    // node name, or address when the name isn't known
  std::string reason;  // why there is none
};

// What is known of a deployment. A plain value.
struct DeploymentStatus {
  std::vector<NodeStatus> nodes;
  std::vector<SilentNode> silent;

  // Returns the newest revision that any node has heard of.
  base::Revision NewestRevision() const;

  // Returns the names of the nodes that hold the coordinator's lease: one, or none for a moment.
  std::vector<std::string> LeaseHolders() const;

  // Returns the balancers whose revision in force is older than the newest. Agents take only their
  // service's settings, so they don't count.
  std::vector<std::string> Lagging() const;

  // Returns the control addresses of live balancers that no status was got from: whether they have
  // the newest revision in force is not known.
  std::vector<std::string> UnaskedBalancers() const;
};

}  // namespace gaugevalve::ctl
