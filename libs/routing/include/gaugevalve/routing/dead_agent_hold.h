// Hold period for the buckets of agents that were declared dead but may still run.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/agent_status.h"
#include "gaugevalve/routing/bucket_table.h"

namespace gaugevalve::routing {

// An agent that was declared dead may still run, isolated from the control plane but reachable by
// balancers, and may open flows by its last table until that table is too old. This class tracks
// the time until which the buckets of each such agent must not be reassigned. It holds at most one
// entry for each agent of the service. Not thread-safe.
class DeadAgentHold {
 public:
  // `length`: time for which an agent may continue to open flows after an answer.
  explicit DeadAgentHold(base::Duration length) : length_(length) {}

  // Records that a report of this incarnation of the agent is answered now.
  void NoteAnswered(base::NodeId node, base::Incarnation incarnation, base::TimePoint now);

  // Records that this incarnation of the agent left the group itself, so that its buckets need no
  // hold.
  void NoteGracefulLeave(base::NodeId node, base::Incarnation incarnation);

  // Updates the holds. `agents` are the agents of the service, `former` those that the table lists.
  // An agent of `former` that is missing in `agents` is held, and so is every dead one in `agents`,
  // because a table that was taken over may not list it. An agent is not held if another
  // incarnation of it is known, which proves that the former one has ended. If no answer to an
  // agent is recorded here, the hold counts from `now`, because another planner may have answered
  // the agent until now.
  void Update(const std::vector<AgentEntry>& former, const std::vector<AgentStatus>& agents,
              base::TimePoint now);

  // Ends the holds that have expired; returns whether there was one.
  bool Release(base::TimePoint now);

  // Tells whether the agent is held.
  bool Holds(base::NodeId node) const { return held_.contains(node); }

  // Returns the time at which Release() is next due; nothing if no agent is held.
  std::optional<base::TimePoint> NextRelease() const;

  // Appends the entries of the held agents, sorted by node.
  void AppendTo(std::vector<AgentEntry>& entries) const;

 private:
  struct Answer {
    base::Incarnation incarnation;
    base::TimePoint at;
  };
  struct Held {
    AgentEntry entry;
    base::TimePoint until;
  };

  bool HasEnded(const AgentEntry& agent) const;
  base::TimePoint LastAnswer(const AgentEntry& agent, base::TimePoint otherwise) const;

  base::Duration length_;
  std::map<base::NodeId, Answer> answers_;           // of agents that are known or held
  std::map<base::NodeId, base::Incarnation> ended_;  // incarnations that can open no flows any more
  std::map<base::NodeId, Held> held_;
};

}  // namespace gaugevalve::routing
