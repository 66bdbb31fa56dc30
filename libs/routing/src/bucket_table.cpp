#include "gaugevalve/routing/bucket_table.h"

#include <algorithm>

#include "gaugevalve/base/hash.h"

namespace gaugevalve::routing {
namespace {

void SortByNode(std::vector<AgentEntry>& agents) {
  std::sort(agents.begin(), agents.end(),
            [](const AgentEntry& left, const AgentEntry& right) { return left.node < right.node; });
}

// Returns the positions of the agents, sorted by falling rendezvous weight for this bucket.
std::vector<std::size_t> RankAgents(base::ServiceId service, std::size_t bucket,
                                    const std::vector<AgentEntry>& agents) {
  const std::uint64_t bucket_seed = base::HashPair(service.value(), bucket);
  std::vector<std::size_t> positions(agents.size());
  for (std::size_t position = 0; position < agents.size(); ++position) {
    positions[position] = position;
  }
  const auto weight = [&](std::size_t position) {
    return base::HashPair(agents[position].node.value(), bucket_seed);
  };
  std::sort(positions.begin(), positions.end(),
            [&](std::size_t left, std::size_t right) { return weight(left) > weight(right); });
  return positions;
}

}  // namespace

base::BucketIndex BucketTable::BucketOf(std::uint64_t flow_key_hash) const {
  return base::BucketIndex(static_cast<std::uint16_t>(flow_key_hash % buckets.size()));
}

const AgentEntry* BucketTable::FindAgent(base::NodeId node) const {
  const auto found = std::lower_bound(
      agents.begin(), agents.end(), node,
      [](const AgentEntry& agent, base::NodeId wanted) { return agent.node < wanted; });
  const bool present = found != agents.end() && found->node == node;
  return present ? &*found : nullptr;
}

bool BucketTable::Apply(const TableDelta& delta) {
  if (delta.service != service || delta.base != version) {
    return false;
  }
  for (const BucketChange& change : delta.changes) {
    if (change.index.value() >= buckets.size()) {
      return false;
    }
  }
  for (const BucketChange& change : delta.changes) {
    Bucket& bucket = buckets[change.index.value()];
    if (change.bucket.version > bucket.version) {
      bucket = change.bucket;
    }
  }
  agents = delta.agents;
  SortByNode(agents);
  version = delta.version;
  return true;
}

TableDelta MakeDelta(const BucketTable& before, const BucketTable& after) {
  TableDelta delta{after.service, before.version, after.version, after.agents, {}};
  for (std::size_t index = 0; index < after.buckets.size(); ++index) {
    if (before.buckets[index] != after.buckets[index]) {
      delta.changes.push_back(
          {base::BucketIndex(static_cast<std::uint16_t>(index)), after.buckets[index]});
    }
  }
  return delta;
}

BucketTable MakeInitialTable(base::ServiceId service, TableVersion version,
                             std::vector<AgentEntry> agents, std::size_t bucket_count) {
  SortByNode(agents);
  BucketTable table{service, version, std::move(agents), {}};
  table.buckets.assign(bucket_count, Bucket{version, base::NodeId(), {}});
  if (table.agents.empty()) {
    return table;
  }
  // No agent owns more than the even share, rounded up. Further buckets go to the next agent in
  // rank.
  const std::size_t agent_count = table.agents.size();
  const std::size_t most = (bucket_count + agent_count - 1) / agent_count;
  std::vector<std::size_t> owned(agent_count, 0);
  for (std::size_t index = 0; index < bucket_count; ++index) {
    for (const std::size_t position : RankAgents(service, index, table.agents)) {
      if (owned[position] < most) {
        ++owned[position];
        table.buckets[index].owner = table.agents[position].node;
        break;
      }
    }
  }
  return table;
}

}  // namespace gaugevalve::routing
