// Agents that were removed from a service's table.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/bucket_table.h"

namespace gaugevalve::agent {

// Remembers when each agent left, so that its callers can be told that their connections no longer
// exist. An agent never seen in a table is not known to have left: it may be newer than the table.
// Holds at most kCapacity agents; when full it forgets the one that left first, whose callers then
// wait for their own timeouts.
class DepartedAgents {
 public:
  static constexpr std::size_t kCapacity = 256;

  // Updates the records from a newer list of agents.
  void Update(const std::vector<routing::AgentEntry>& agents, base::TimePoint now);

  // Returns whether the agent left at least `grace` ago and has not come back.
  bool HasLeft(base::NodeId node, base::Duration grace, base::TimePoint now) const;

 private:
  std::vector<base::NodeId> present_;
  absl::flat_hash_map<base::NodeId, base::TimePoint> left_at_;
};

}  // namespace gaugevalve::agent
