#include "ownership_oracle.h"

#include <sstream>

namespace gaugevalve::proofs {

void OwnershipOracle::NoteDeclaredDead(std::size_t agent, const routing::TableVersion& version) {
  death_notices_[agent] = {agents_[agent].CurrentIncarnation(), version};
  std::erase_if(holders_, [&](const auto& entry) { return entry.second.agent == agent; });
}

std::optional<std::string> OwnershipOracle::NoteRelayed(std::size_t agent, const wire::FlowKey& key,
                                                        bool is_new, base::TimePoint now) {
  std::ostringstream rule;
  if (agents_[agent].Service() != service_) {
    rule << "a datagram reached agent " << agent << " of another service";
    return rule.str();
  }
  if (is_new && now - freshness_limit_ > agents_[agent].ConfirmedAt()) {
    rule << "agent " << agent << " opened a flow with a table out of date";
    return rule.str();
  }
  if (IsUnaware(agent)) {
    if (is_new) {
      rule << "agent " << agent << " was declared dead, has not learned of it and opened a flow";
      return rule.str();
    }
    return std::nullopt;
  }
  const std::optional<std::size_t> holder = HolderOf(key);
  if (holder && *holder != agent) {
    rule << "agent " << agent << (is_new ? " opened" : " served") << " the flow of agent "
         << *holder;
    return rule.str();
  }
  holders_[key.Hash()] = {agent, agents_[agent].CurrentIncarnation()};
  return std::nullopt;
}

std::optional<std::size_t> OwnershipOracle::HolderOf(const wire::FlowKey& key) const {
  const auto found = holders_.find(key.Hash());
  if (found == holders_.end()) {
    return std::nullopt;
  }
  const SimulatedAgent& agent = agents_[found->second.agent];
  const bool is_alive = agent.State() != ProcessState::kGone &&
                        agent.CurrentIncarnation() == found->second.incarnation;
  return is_alive && agent.Holds(key) ? std::optional(found->second.agent) : std::nullopt;
}

bool OwnershipOracle::IsUnaware(std::size_t agent) const {
  const auto found = death_notices_.find(agent);
  return found != death_notices_.end() &&
         found->second.incarnation == agents_[agent].CurrentIncarnation() &&
         !agents_[agent].HasTable(found->second.version);
}

}  // namespace gaugevalve::proofs
