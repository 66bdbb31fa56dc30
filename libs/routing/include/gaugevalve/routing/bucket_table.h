// Bucket table of one service: which agent owns each bucket of flow keys.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/routing/table_version.h"

namespace gaugevalve::routing {

// Maximum number of previous owners of a bucket, its chain. A planner moves a bucket whose chain is
// full only back to a member of the chain or away from a dead owner.
inline constexpr std::size_t kMaxPreviousOwners = 4;

// One incarnation of an agent, and the address that its datagrams go to.
struct AgentEntry {
  base::NodeId node;
  base::Incarnation incarnation;
  base::SocketAddress data_address;
  std::string zone;

  friend bool operator==(const AgentEntry&, const AgentEntry&) = default;
};

// The agents that serve the flows of one bucket. Agents are identified by node; the table lists
// their incarnations.
struct Bucket {
  TableVersion version;                       // when this entry last changed
  base::NodeId owner;                         // opens new flows; value 0 means that there is none
  std::vector<base::NodeId> previous_owners;  // may still hold flows; newest first

  friend bool operator==(const Bucket&, const Bucket&) = default;
};

// A bucket that changed, with its place in the table.
struct BucketChange {
  base::BucketIndex index;
  Bucket bucket;

  friend bool operator==(const BucketChange&, const BucketChange&) = default;
};

// What changed from one version of a table to a later one.
struct TableDelta {
  base::ServiceId service;
  TableVersion base;               // version that the delta applies to
  TableVersion version;            // version that results
  std::vector<AgentEntry> agents;  // the full new list of agents, always present: it is short
  std::vector<BucketChange> changes;

  friend bool operator==(const TableDelta&, const TableDelta&) = default;
};

// The bucket table of one service, as a plain value.
struct BucketTable {
  base::ServiceId service;
  TableVersion version;
  std::vector<AgentEntry> agents;  // sorted by node
  std::vector<Bucket> buckets;     // the number is fixed as long as the service exists

  // Returns the bucket of a flow key's hash. The table must have buckets.
  base::BucketIndex BucketOf(std::uint64_t flow_key_hash) const;

  // Returns the entry of this agent, or null if the table doesn't list it. Valid until the table
  // changes.
  const AgentEntry* FindAgent(base::NodeId node) const;

  // Applies the delta and replaces only buckets whose version in the delta is newer. Returns false
  // and changes nothing if the service or the base version differs or an index is out of range; the
  // caller then needs the full table.
  bool Apply(const TableDelta& delta);

  friend bool operator==(const BucketTable&, const BucketTable&) = default;
};

// Returns the delta that turns `before` into `after`; both must be of one service and have the same
// number of buckets.
TableDelta MakeDelta(const BucketTable& before, const BucketTable& after);

// Returns a first table: each bucket goes to the agent with the highest rendezvous weight that owns
// less than an even share, rounded up. The result is the same on every node for the same input.
// Without agents the buckets have no owner.
BucketTable MakeInitialTable(base::ServiceId service, TableVersion version,
                             std::vector<AgentEntry> agents, std::size_t bucket_count);

}  // namespace gaugevalve::routing
