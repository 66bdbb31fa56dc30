// The table of one service: which agent owns each bucket of flow keys.
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

// Most previous owners a bucket carries to an agent. A planner moves no bucket whose chain is full
// except back to a member of the chain or away from a dead or leaving owner.
inline constexpr std::size_t kMaxPreviousOwners = 4;

// One life of one agent, and where its datagrams go.
struct AgentEntry {
  base::NodeId node;
  base::Incarnation incarnation;
  base::SocketAddress data_address;
  std::string zone;

  friend bool operator==(const AgentEntry&, const AgentEntry&) = default;
};

// Who serves the flows of one bucket. Agents are named by node; their lives are in the table.
struct Bucket {
  TableVersion version;                       // when this entry last changed
  base::NodeId owner;                         // opens new flows; value 0 means "nobody"
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
  TableVersion base;               // the version it applies to
  TableVersion version;            // the version it makes
  std::vector<AgentEntry> agents;  // the whole new list of agents, always present: it is short
  std::vector<BucketChange> changes;

  friend bool operator==(const TableDelta&, const TableDelta&) = default;
};

// The table of one service. A plain value: copied, compared, swapped whole.
struct BucketTable {
  base::ServiceId service;
  TableVersion version;
  std::vector<AgentEntry> agents;  // sorted by node
  std::vector<Bucket> buckets;     // size is fixed for the life of a service

  // Returns the bucket of a flow key's hash. The table must have buckets.
  base::BucketIndex BucketOf(std::uint64_t flow_key_hash) const;

  // Returns the entry of this agent, or null when the table doesn't name it. Valid until changed.
  const AgentEntry* FindAgent(base::NodeId node) const;

  // Applies the delta when its base is this table's version, bucket by bucket, newer entries only.
  // Returns false and changes nothing when the base differs: the caller then needs the whole table.
  bool Apply(const TableDelta& delta);

  friend bool operator==(const BucketTable&, const BucketTable&) = default;
};

// Returns what turns `before` into `after`; both must be of one service and of one size.
TableDelta MakeDelta(const BucketTable& before, const BucketTable& after);

// Returns a first table: each bucket goes to the agent with the highest rendezvous weight, then the
// surplus of agents over an even share is dealt to those below it. The same on every node for the
// same input. With no agents the buckets have no owner.
BucketTable MakeInitialTable(base::ServiceId service, TableVersion version,
                             std::vector<AgentEntry> agents, std::size_t bucket_count);

}  // namespace gaugevalve::routing
