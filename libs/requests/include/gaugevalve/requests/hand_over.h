// Requests that run at another agent's endpoint while their callers' connections stay.
//
// An agent that can't run a request soon (it drains, its endpoint is down, the wait would be long)
// offers it to one that can. The offer names one life of each side, so that no later life takes it
// for its own; body and answer flow as counted frames within the receiver's credit, and are
// repeated until acknowledged. docs/design/0012-hand-over.md has the reasons.
#pragma once

#include <cstddef>
#include <memory>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/requests/hand_over_executor.h"
#include "gaugevalve/requests/hand_over_limits.h"
#include "gaugevalve/requests/hand_over_origin.h"
#include "gaugevalve/requests/peer_loads.h"

namespace gaugevalve::requests {

// What this agent's endpoint could take now, for its announcements.
struct LocalLoad {
  std::uint32_t free_slots = 0;
  std::uint32_t queue_room = 0;
  bool takes_requests = false;
};

// Both parts of one agent. Not thread-safe; the owner passes in the time.
class HandOver {
 public:
  // `random` must outlive this.
  HandOver(base::NodeId self, base::Incarnation incarnation, const HandOverLimits& limits,
           base::RandomSource& random);
  HandOver(const HandOver&) = delete;
  HandOver& operator=(const HandOver&) = delete;

  // Takes the service's table, of any version.
  HandOverActions SetTable(const std::shared_ptr<const routing::BucketTable>& table,
                           base::TimePoint now);

  // Takes a message of another agent; malformed ones are passed over.
  HandOverActions OnMessage(base::NodeId sender, const proto::HandOverMessage& message,
                            base::TimePoint now);

  // Repeats, gives up and announces `load` as due. Call every few tens of milliseconds.
  HandOverActions OnTimer(const LocalLoad& load, base::TimePoint now);

  HandOverOrigin& Origin() { return origin_; }
  HandOverExecutor& Executor() { return executor_; }
  const PeerLoads& Loads() const { return loads_; }

 private:
  void Announce(const LocalLoad& load, HandOverActions& actions);

  base::NodeId self_;
  base::Incarnation incarnation_;
  HandOverLimits limits_;
  PeerLoads loads_;
  HandOverOrigin origin_;
  HandOverExecutor executor_;
  std::shared_ptr<const routing::BucketTable> table_;
  base::TimePoint announce_at_{};
  std::size_t next_announced_ = 0;  // index into the table's agents
  bool took_requests_ = false;
};

}  // namespace gaugevalve::requests
