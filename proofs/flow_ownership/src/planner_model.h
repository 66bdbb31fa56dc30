// Model of a planner that makes any change the architecture allows; acts as the adversary of the
// agents.
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

// The only writer of one service's table; keeps all tables it has published. It guarantees what
// ServicePlanner guarantees: a previous owner leaves a chain only if it is declared dead, or if it
// sends a report that names the bucket's entry or a later one and shows no flow in the bucket.
class PlannerModel {
 public:
  PlannerModel(base::ServiceId service, std::size_t bucket_count, Mutant mutant);

  // Lists an incarnation of an agent and replaces an older one.
  void List(const routing::AgentEntry& agent);

  // Declares an agent dead: it is removed from all buckets and chains. Another listed agent takes
  // over its buckets.
  void DeclareDead(base::NodeId node);

  // Moves a bucket to a listed agent, unless its chain is full.
  void Move(std::size_t bucket, base::NodeId node);

  // Processes a report: shortens chains, and adds an agent that holds flows back to the chain.
  void HandleReport(const routing::AgentReport& report);

  // Returns whether the newest table lists the agent.
  bool Lists(base::NodeId node) const { return Newest().FindAgent(node) != nullptr; }

  // Returns the index of the first table since which every table lists the agent's current
  // incarnation; the index of the newest table if that does not list the agent.
  std::size_t ListedSince(base::NodeId node) const;

  const routing::BucketTable& Newest() const { return *tables_.back(); }

  // All published tables, oldest first; never empty.
  const std::vector<TablePointer>& Tables() const { return tables_; }

 private:
  void Publish(routing::BucketTable table);

  Mutant mutant_;
  std::vector<TablePointer> tables_;
};

}  // namespace gaugevalve::proofs
