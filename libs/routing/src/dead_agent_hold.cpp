#include "gaugevalve/routing/dead_agent_hold.h"

#include <algorithm>

namespace gaugevalve::routing {
namespace {

const AgentStatus* FindNode(const std::vector<AgentStatus>& agents, base::NodeId node) {
  const auto found = std::find_if(agents.begin(), agents.end(), [&](const AgentStatus& status) {
    return status.entry.node == node;
  });
  return found == agents.end() ? nullptr : &*found;
}

// Tells whether the status says that this life of the agent may still run, unknown to others.
bool MayRunUnseen(const AgentEntry& agent, const AgentStatus* status) {
  const bool other_life = status != nullptr && status->entry.incarnation != agent.incarnation;
  const bool is_there = status != nullptr && status->liveness != AgentLiveness::kDead;
  return !other_life && !is_there;
}

}  // namespace

void DeadAgentHold::NoteAnswered(base::NodeId node, base::Incarnation incarnation,
                                 base::TimePoint now) {
  answers_[node] = {incarnation, now};
}

void DeadAgentHold::NoteGracefulLeave(base::NodeId node, base::Incarnation incarnation) {
  ended_[node] = incarnation;
  const auto held = held_.find(node);
  if (held != held_.end() && HasEnded(held->second.entry)) {
    held->second.until = base::TimePoint::min();
  }
}

bool DeadAgentHold::HasEnded(const AgentEntry& agent) const {
  const auto found = ended_.find(agent.node);
  return found != ended_.end() && found->second >= agent.incarnation;
}

base::TimePoint DeadAgentHold::LastAnswer(const AgentEntry& agent,
                                          base::TimePoint otherwise) const {
  const auto found = answers_.find(agent.node);
  const bool is_known = found != answers_.end() && found->second.incarnation == agent.incarnation;
  return is_known ? found->second.at : otherwise;
}

void DeadAgentHold::Update(const std::vector<AgentEntry>& former,
                           const std::vector<AgentStatus>& agents, base::TimePoint now) {
  std::erase_if(held_, [&](const auto& entry) {
    return !MayRunUnseen(entry.second.entry, FindNode(agents, entry.first));
  });
  std::vector<AgentEntry> known = former;
  for (const AgentStatus& status : agents) {
    if (status.liveness == AgentLiveness::kDead) {
      known.push_back(status.entry);
    }
  }
  for (const AgentEntry& agent : known) {
    const bool is_new = !held_.contains(agent.node) && !HasEnded(agent);
    if (is_new && MayRunUnseen(agent, FindNode(agents, agent.node))) {
      held_[agent.node] = {agent, LastAnswer(agent, now) + length_};
    }
  }
  std::erase_if(answers_, [&](const auto& entry) {
    return FindNode(agents, entry.first) == nullptr && !held_.contains(entry.first);
  });
  std::erase_if(ended_, [&](const auto& entry) {
    const bool is_known = std::any_of(known.begin(), known.end(), [&](const AgentEntry& agent) {
      return agent.node == entry.first && agent.incarnation <= entry.second;
    });
    const AgentStatus* status = FindNode(agents, entry.first);
    const bool is_back = status != nullptr && status->liveness != AgentLiveness::kDead;
    return is_back || !is_known;
  });
}

bool DeadAgentHold::Release(base::TimePoint now) {
  return std::erase_if(held_, [&](const auto& entry) {
           const bool is_over = entry.second.until <= now;
           if (is_over) {
             ended_[entry.first] = entry.second.entry.incarnation;
           }
           return is_over;
         }) > 0;
}

std::optional<base::TimePoint> DeadAgentHold::NextRelease() const {
  std::optional<base::TimePoint> next;
  for (const auto& [node, held] : held_) {
    next = std::min(next.value_or(held.until), held.until);
  }
  return next;
}

void DeadAgentHold::AppendTo(std::vector<AgentEntry>& entries) const {
  for (const auto& [node, held] : held_) {
    entries.push_back(held.entry);
  }
}

}  // namespace gaugevalve::routing
