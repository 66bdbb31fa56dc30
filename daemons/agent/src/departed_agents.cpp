#include "departed_agents.h"

#include <algorithm>

namespace gaugevalve::agent {

void DepartedAgents::Update(const std::vector<routing::AgentEntry>& agents, base::TimePoint now) {
  for (const base::NodeId node : present_) {
    left_at_.try_emplace(node, now);
  }
  present_.clear();
  for (const routing::AgentEntry& agent : agents) {
    present_.push_back(agent.node);
    left_at_.erase(agent.node);
  }
  while (left_at_.size() > kCapacity) {
    left_at_.erase(std::min_element(
        left_at_.begin(), left_at_.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; }));
  }
}

bool DepartedAgents::HasLeft(base::NodeId node, base::Duration grace, base::TimePoint now) const {
  const auto found = left_at_.find(node);
  return found != left_at_.end() && now - found->second >= grace;
}

}  // namespace gaugevalve::agent
