// Hand-over of requests: a request runs at another agent's endpoint while the caller's connection
// stays at this agent.
//
// An agent that cannot run a request soon (because it drains, its endpoint is down or the wait
// would be long) offers it to an agent that can. The offer names the incarnations of both agents,
// so that no later incarnation accepts its messages. Bodies and answers are sent as numbered frames
// within the receiver's credit and are retransmitted until acknowledged. The design is in
// docs/design/0012-hand-over.md.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/requests/hand_over_executor.h"
#include "gaugevalve/requests/hand_over_limits.h"
#include "gaugevalve/requests/hand_over_origin.h"
#include "gaugevalve/requests/peer_liveness.h"
#include "gaugevalve/requests/peer_loads.h"

namespace gaugevalve::requests {

// Spare capacity of this agent's endpoint, for its announcements.
struct LocalLoad {
  std::uint32_t free_slots = 0;
  std::uint32_t queue_room = 0;
  bool takes_requests = false;
};

// The origin and the executor of one agent. Not thread-safe; the owner passes in the time.
class HandOver {
 public:
  // `random` must outlive this.
  HandOver(base::NodeId self, base::Incarnation incarnation, const HandOverLimits& limits,
           base::RandomSource& random);
  HandOver(const HandOver&) = delete;
  HandOver& operator=(const HandOver&) = delete;

  // Applies the service's table, of any version.
  HandOverActions SetTable(const std::shared_ptr<const routing::BucketTable>& table,
                           base::TimePoint now);

  // Applies the agents of the service that membership counts as live; null if there is no
  // membership. A newer incarnation ends the hand-overs with the previous one.
  HandOverActions SetLiveAgents(const std::shared_ptr<const LiveAgents>& agents,
                                base::TimePoint now);

  // Another agent was heard, though not necessarily here.
  void NoteContact(const AgentContact& contact) { liveness_.NoteContact(contact); }

  // Handles a message from another agent; malformed messages are ignored.
  HandOverActions OnMessage(base::NodeId sender, const proto::HandOverMessage& message,
                            base::TimePoint now);

  // Retransmits messages, ends overdue hand-overs and announces `load` when due. Call every few
  // tens of milliseconds. A gap of more than half a second between two calls is taken for a pause
  // of this process: other agents were not silent meanwhile, their messages wait to be handled.
  HandOverActions OnTimer(const LocalLoad& load, base::TimePoint now);

  HandOverOrigin& Origin() { return origin_; }
  HandOverExecutor& Executor() { return executor_; }
  const PeerLoads& Loads() const { return loads_; }

 private:
  void Announce(const LocalLoad& load, HandOverActions& actions);
  void EndOlderIncarnations(const AgentIncarnation& agent, base::TimePoint now,
                            HandOverActions& actions);
  void DetectPause(base::TimePoint now);

  base::NodeId self_;
  base::Incarnation incarnation_;
  HandOverLimits limits_;
  PeerLoads loads_;
  PeerLiveness liveness_;
  HandOverOrigin origin_;
  HandOverExecutor executor_;
  std::shared_ptr<const routing::BucketTable> table_;
  std::shared_ptr<const LiveAgents> live_agents_;
  base::TimePoint announce_at_{};
  std::optional<base::TimePoint> timer_called_at_;
  std::size_t next_announced_ = 0;  // index into the table's agents
  bool announced_takes_requests_ = false;
};

}  // namespace gaugevalve::requests
