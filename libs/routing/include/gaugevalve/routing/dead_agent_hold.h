// Agents that were declared dead and may still run, cut off from control but not from balancers.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/agent_status.h"
#include "gaugevalve/routing/bucket_table.h"

namespace gaugevalve::routing {

// Remembers until when such an agent may open flows by the table that it has: its buckets are
// nobody else's until then. One entry for each agent of the service at most. Not thread-safe.
class DeadAgentHold {
 public:
  // `length`: time for which an agent may go on opening flows after an answer.
  explicit DeadAgentHold(base::Duration length) : length_(length) {}

  // Notes that a report of this life of the agent is answered now.
  void NoteAnswered(base::NodeId node, base::Incarnation incarnation, base::TimePoint now);

  // Notes that this life of the agent has ended for sure: it needs no wait.
  void NoteGracefulLeave(base::NodeId node, base::Incarnation incarnation);

  // Takes the service's agents; `former` are those that the table lists. Of these the ones that are
  // missing now are held, and all that are dead: a table that was taken over needn't list them. One
  // of which another life is known isn't held, as that proves the end of the former life. When no
  // answer to an agent is known here, another planner may have answered it until now.
  void Update(const std::vector<AgentEntry>& former, const std::vector<AgentStatus>& agents,
              base::TimePoint now);

  // Forgets all whose time is over; returns whether there was one.
  bool Release(base::TimePoint now);

  // Tells whether the agent is held.
  bool Holds(base::NodeId node) const { return held_.contains(node); }

  // Returns when Release() is next due; nothing when nobody is held.
  std::optional<base::TimePoint> NextRelease() const;

  // Appends those that are held, in order of their nodes.
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
  std::map<base::NodeId, Answer> answers_;           // of agents that are there or held
  std::map<base::NodeId, base::Incarnation> ended_;  // lives that open nothing any more
  std::map<base::NodeId, Held> held_;
};

}  // namespace gaugevalve::routing
