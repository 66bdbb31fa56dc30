// Which of a service's agents may open a flow: the rules of docs/DESIGN.md, "Routing and ownership
// of flows".
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

// Agents that may pass a datagram on before it is dropped: a walk of the longest chain, there and
// back, started anew twice because an agent knew a newer entry.
inline constexpr std::uint8_t kMaxHops = 3 * (wire::kMaxCarriedOwners + 2);

// Who this agent is. The incarnation is that of its start; a larger one in a table is still this
// life (it has refuted a suspicion), a smaller one is a former life.
struct AgentIdentity {
  base::NodeId node;
  base::Incarnation incarnation;
  base::ServiceId service;
};

// When an agent may open flows.
struct OwnershipSettings {
  // Time since NodeView::confirmed_at after which the agent opens no flow. Must be below the time
  // for which planners hold the buckets of an agent that was declared dead.
  base::Duration freshness_limit = routing::kFreshnessLimit;
  // A gap between two calls of NoteTime() by which the agent knows that it was frozen, when others
  // may have taken it for dead sooner than that. It then opens no flow until its table is confirmed
  // anew.
  base::Duration pause_threshold = std::chrono::seconds(1);
  // Time from the start of a drain in which the planner moves the agent's buckets away and the
  // agent still opens flows that nobody else may open.
  base::Duration drain_grace = std::chrono::seconds(2);
};

// What is to be done with a datagram.
enum class Verdict : std::uint8_t {
  kServe,   // the flow is here
  kOpen,    // a first datagram: open the flow here
  kPassOn,  // send it to OwnershipDecision::next_hop with the header as changed
  kDrop,    // for OwnershipDecision::reason
};

// The decision about one datagram.
struct OwnershipDecision {
  Verdict verdict = Verdict::kDrop;
  base::SocketAddress next_hop;              // kPassOn only
  DropReason reason = DropReason::kNoTable;  // kDrop only
  bool confirms = false;  // kServe and kOpen: the flow is now confirmed under the newest entry
};

// The newest entry of each bucket that this agent has seen, in a table or in a datagram, and the
// rules that follow from it. By remembering an entry the agent has acknowledged it: it never again
// opens a flow under an older one.
//
// Two agents never serve one flow: an owner opens one only after each previous owner that is alive
// has acknowledged the owner's entry and doesn't have the flow. An agent that was wrongly taken for
// dead breaks this: others were free to open its flows. It need not even see the entry that left it
// out, if it was frozen then. So a flow is *confirmed* under an entry, the one under which it was
// opened at first, and an agent serves only what is confirmed under the newest. Any other datagram
// goes along the chain once; of all that have the flow, the one that has it confirmed under the
// newest entry serves it, and confirms it anew. In this way the flows of an agent that was wrongly
// taken for dead come back when the planner names it again, unless others have opened them.
//
// Memory: one entry per bucket, the size of the first table. Pure and not thread-safe.
class BucketOwnership {
 public:
  BucketOwnership(const AgentIdentity& identity, const OwnershipSettings& settings)
      : identity_(identity), settings_(settings) {}

  // Takes the table of a NodeView, which was current at `confirmed_at`. Entries that are older than
  // known ones are ignored, and so is a table of another service or size.
  void UpdateTable(const routing::BucketTable& table, base::TimePoint confirmed_at);

  // Notes that the agent runs. Once called it must be called again several times within each pause
  // threshold; without it the agent can't know of pauses.
  void NoteTime(base::TimePoint now);

  // Notes a pause when the last NoteTime() was too long ago. Call it before decision.
  void CheckPause(base::TimePoint now);

  // From now on the agent opens nothing that another could open. Idempotent.
  void StartDraining(base::TimePoint now);

  // Drops what isn't this agent's; otherwise settles the newest entry between this agent and the
  // datagram, and leaves it in the header. `flow_key_hash` is the hash that chose the bucket.
  std::optional<DropReason> ReconcileEntry(wire::ForwardingHeader& header,
                                           std::uint64_t flow_key_hash);

  // Rules on a settled datagram; prepares the header for the next hop where it is passed on. `held`
  // is the version of the entry under which this agent has the flow confirmed, if it has the flow.
  OwnershipDecision Decide(wire::ForwardingHeader& header,
                           const std::optional<routing::TableVersion>& held,
                           base::TimePoint now) const;

  // Returns the version of the newest entry known of a bucket, which must be below BucketCount().
  routing::TableVersion EntryVersion(base::BucketIndex bucket) const {
    return entries_[bucket.value()].version;
  }

  // Tells whether any bucket's newest known entry names this agent, as owner or in the chain.
  bool IsNamed() const;

  // Returns the version of the newest table taken, for reports to the planner.
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
                              const std::optional<routing::TableVersion>& held,
                              base::TimePoint now) const;
  OwnershipDecision ContinueWalk(wire::ForwardingHeader& header,
                                 const std::optional<routing::TableVersion>& held) const;
  OwnershipDecision EndWalk(wire::ForwardingHeader& header,
                            const std::optional<routing::TableVersion>& held,
                            base::TimePoint now) const;
  OwnershipDecision OpenOrRefuse(const wire::BucketEntry& entry, base::TimePoint now) const;
  OwnershipDecision PassToClaimant(wire::ForwardingHeader& header) const;
  static OwnershipDecision PassToOwner(wire::ForwardingHeader& header);
  static OwnershipDecision PassTo(const wire::AgentAddress& agent, wire::ForwardingHeader& header);

  AgentIdentity identity_;
  OwnershipSettings settings_;
  std::vector<wire::BucketEntry> entries_;  // index = bucket
  routing::TableVersion table_version_;
  base::TimePoint confirmed_at_ = base::TimePoint::min();
  base::TimePoint noted_at_ = base::TimePoint::max();    // of the last NoteTime()
  base::TimePoint resumed_at_ = base::TimePoint::min();  // end of the last pause
  bool is_listed_ = false;          // the newest table knows this life of the agent
  bool others_are_listed_ = false;  // the newest table knows other agents
  std::optional<base::TimePoint> draining_since_;
};

}  // namespace gaugevalve::flow
