#include "deployment_status.h"

#include <algorithm>
#include <set>

namespace gaugevalve::ctl {
namespace {

constexpr std::string_view kBalancerRole = "balancer";

// A suspect may well be alive.
bool MayBeAlive(const MemberStatus& member) {
  return member.state == "alive" || member.state == "suspect";
}

}  // namespace

base::Revision DeploymentStatus::NewestRevision() const {
  base::Revision newest;
  for (const NodeStatus& node : nodes) {
    newest = std::max({newest, node.newest_revision, node.revision_in_force});
  }
  return newest;
}

std::vector<std::string> DeploymentStatus::LeaseHolders() const {
  std::vector<std::string> holders;
  for (const NodeStatus& node : nodes) {
    if (node.holds_lease) {
      holders.push_back(node.name);
    }
  }
  return holders;
}

std::vector<std::string> DeploymentStatus::Lagging() const {
  const base::Revision newest = NewestRevision();
  std::vector<std::string> names;
  for (const NodeStatus& node : nodes) {
    if (node.role == kBalancerRole && node.revision_in_force < newest) {
      names.push_back(node.name);
    }
  }
  return names;
}

std::vector<std::string> DeploymentStatus::UnaskedBalancers() const {
  std::set<base::NodeId> answered;
  for (const NodeStatus& node : nodes) {
    answered.insert(node.node);
  }
  std::set<std::string> addresses;
  for (const NodeStatus& node : nodes) {
    for (const MemberStatus& member : node.members) {
      const bool is_live_balancer = member.role == kBalancerRole && MayBeAlive(member);
      if (is_live_balancer && !answered.contains(member.node)) {
        addresses.insert(member.control_address);
      }
    }
  }
  return {addresses.begin(), addresses.end()};
}

}  // namespace gaugevalve::ctl
