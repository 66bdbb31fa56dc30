// A planner that makes any change the architecture allows: the adversary of the agents.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/routing/bucket_table.h"
#include "mutant.h"

namespace gaugevalve::proofs {

using TablePointer = std::shared_ptr<const routing::BucketTable>;

// The only writer of one service's table, with all the tables it ever made. What it keeps to is
// what ServicePlanner promises: a previous owner leaves a chain only when a report of it that names
// the bucket's entry, or a later one, shows no flow there, or when it is taken for dead.
class PlannerModel {
 public:
  PlannerModel(base::ServiceId service, std::size_t bucket_count, Mutant mutant);

  // Lists a life of an agent, in place of an older one.
  void List(const routing::AgentEntry& agent);

  // Takes an agent for dead: it owns nothing and is in no chain. Another listed agent takes its
  // buckets.
  void DeclareDead(base::NodeId node);

  // Moves a bucket to a listed agent, unless its chain is full.
  void Move(std::size_t bucket, base::NodeId node);

  // Takes a report: shortens chains, and names an agent again that holds flows.
  void HandleReport(const routing::AgentReport& report);

  // Tells whether the newest table lists the agent.
  bool Lists(base::NodeId node) const { return Newest().FindAgent(node) != nullptr; }

  // Returns the index of the first of the tables that list the newest one's life of the agent
  // without a break; the newest table's when it doesn't list the agent.
  std::size_t ListedSince(base::NodeId node) const;

  const routing::BucketTable& Newest() const { return *tables_.back(); }

  // All tables made, oldest first; never empty.
  const std::vector<TablePointer>& Tables() const { return tables_; }

 private:
  void Publish(routing::BucketTable table);

  Mutant mutant_;
  std::vector<TablePointer> tables_;
};

}  // namespace gaugevalve::proofs
