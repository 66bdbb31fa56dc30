// Decides which agent of a service may open a flow. The rules are in docs/DESIGN.md, "Routing and
// ownership of flows".
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/flow/drop_reason.h"
#include "gaugevalve/routing/bucket_table.h"
#include "gaugevalve/routing/freshness.h"
#include "gaugevalve/wire/forwarding_header.h"

namespace gaugevalve::flow {

// Maximum number of times that agents may pass a datagram on before it is dropped: a walk along the
// longest chain and back, restarted twice because an agent knew a newer entry.
inline constexpr std::uint8_t kMaxHops = 3 * (wire::kMaxCarriedOwners + 2);

// Identity of this agent. `incarnation` is the one it started with. A larger incarnation in a table
// is the same process after it refuted a suspicion; a smaller one is a previous process.
struct AgentIdentity {
  base::NodeId node;
  base::Incarnation incarnation;
  base::ServiceId service;
};

// Conditions under which an agent may open flows.
struct OwnershipSettings {
  // Time after NodeView::confirmed_at beyond which the agent opens no flow. Must be shorter than
  // the time for which planners hold the buckets of an agent that was declared dead.
  base::Duration freshness_limit = routing::kFreshnessLimit;
  // A gap between two calls of NoteTime() that the agent treats as a pause, since others may have
  // declared it dead in less time than freshness_limit. After a pause it opens no flow until its
  // table is confirmed again.
  base::Duration pause_threshold = std::chrono::seconds(1);
  // Time from the start of a drain in which the planner moves the agent's buckets away and the
  // agent still opens flows that no other agent may open.
  base::Duration drain_grace = std::chrono::seconds(2);
};

// What to do with a datagram.
enum class Verdict : std::uint8_t {
  kServe,   // this agent has the flow
  kOpen,    // first datagram: open the flow here
  kPassOn,  // forward to OwnershipDecision::next_hop with the modified header
  kDrop,    // drop for OwnershipDecision::reason
};

// The decision about one datagram.
struct OwnershipDecision {
  Verdict verdict = Verdict::kDrop;
  base::SocketAddress next_hop;              // kPassOn only
  DropReason reason = DropReason::kNoTable;  // kDrop only
  bool confirms_flow = false;  // kServe and kOpen: the flow is now confirmed under the newest entry
};

// Stores the newest entry of each bucket that this agent has seen, in a table or in a datagram, and
// applies the ownership rules. Storing an entry acknowledges it: the agent never opens a flow under
// an older entry again.
//
// Two agents never serve the same flow: an owner opens a flow only after each live previous owner
// has acknowledged the owner's entry and does not have the flow. An agent that was wrongly declared
// dead breaks this rule: other agents were free to open its flows, and if it was frozen at the
// time, it has not even seen the entry that excludes it. Each flow is therefore *confirmed* under
// an entry, initially the one under which it was opened, and an agent serves only flows that are
// confirmed under the newest entry. Any other datagram traverses the chain once. Among the agents
// that have the flow, the one that has it confirmed under the newest entry serves it and confirms
// it again. An agent that was wrongly declared dead thus gets its flows back when the planner lists
// it again, unless other agents have opened them.
//
// Memory: one entry per bucket, for the size of the first table. No side effects; not thread-safe.
class BucketOwnership {
 public:
  BucketOwnership(const AgentIdentity& identity, const OwnershipSettings& settings)
      : identity_(identity), settings_(settings) {}

  // Applies the table of a NodeView that was current at `confirmed_at`. Entries older than known
  // ones are ignored, as is a table of another service or size.
  void UpdateTable(const routing::BucketTable& table, base::TimePoint confirmed_at);

  // Records that the agent is running. Once it has been called, it must be called several times
  // within each pause threshold. If it is never called, pauses are not detected.
  void NoteTime(base::TimePoint now);

  // Records a pause if the last NoteTime() was too long ago. Call before Decide().
  void CheckPause(base::TimePoint now);

  // After the drain grace period the agent opens no flow that another agent could open. Idempotent.
  void StartDraining(base::TimePoint now);

  // Returns a drop reason if the datagram is not for this agent. Otherwise reconciles the agent's
  // entry with the one in the header: the newer one is stored and left in the header.
  // `flow_key_hash` is the hash that selected the bucket.
  std::optional<DropReason> ReconcileEntry(wire::ForwardingHeader& header,
                                           std::uint64_t flow_key_hash);

  // Decides on a reconciled datagram and prepares the header for the next hop if it is passed on.
  // `held_version` is the version of the entry under which this agent has the flow confirmed, if it
  // has the flow.
  OwnershipDecision Decide(wire::ForwardingHeader& header,
                           const std::optional<routing::TableVersion>& held_version,
                           base::TimePoint now) const;

  // Returns the version of the newest known entry of a bucket, which must be below BucketCount().
  routing::TableVersion EntryVersion(base::BucketIndex bucket) const {
    return entries_[bucket.value()].version;
  }

  // Returns whether the newest known entry of any bucket names this agent as owner or in its chain.
  bool IsNamed() const;

  // Returns the version of the newest applied table, for reports to the planner.
  routing::TableVersion AcknowledgedVersion() const { return table_version_; }

  // Returns the number of buckets; 0 before the first table.
  std::size_t BucketCount() const { return entries_.size(); }

  bool IsDraining() const { return draining_since_.has_value(); }

  const AgentIdentity& Identity() const { return identity_; }

 private:
  bool IsSelf(const wire::AgentAddress& agent) const { return agent.node == identity_.node; }
  std::optional<DropReason> ReasonNotToOpen(const wire::BucketEntry& entry,
                                            base::TimePoint now) const;
  OwnershipDecision StartWalk(wire::ForwardingHeader& header,
                              const std::optional<routing::TableVersion>& held_version,
                              base::TimePoint now) const;
  OwnershipDecision ContinueWalk(wire::ForwardingHeader& header,
                                 const std::optional<routing::TableVersion>& held_version) const;
  OwnershipDecision EndWalk(wire::ForwardingHeader& header,
                            const std::optional<routing::TableVersion>& held_version,
                            base::TimePoint now) const;
  OwnershipDecision OpenOrRefuse(const wire::BucketEntry& entry, base::TimePoint now) const;
  OwnershipDecision ForwardToClaimHolder(wire::ForwardingHeader& header) const;
  static OwnershipDecision ForwardToOwner(wire::ForwardingHeader& header);
  static OwnershipDecision ForwardTo(const wire::AgentAddress& agent,
                                     wire::ForwardingHeader& header);

  AgentIdentity identity_;
  OwnershipSettings settings_;
  std::vector<wire::BucketEntry> entries_;  // index = bucket
  routing::TableVersion table_version_;
  base::TimePoint confirmed_at_ = base::TimePoint::min();
  base::TimePoint last_noted_at_ = base::TimePoint::max();  // time of the last NoteTime()
  base::TimePoint resumed_at_ = base::TimePoint::min();     // end of the last pause
  bool is_listed_ = false;           // the newest table lists this incarnation of the agent
  bool lists_other_agents_ = false;  // the newest table lists other agents
  std::optional<base::TimePoint> draining_since_;
};

}  // namespace gaugevalve::flow
