#include "planner_model.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::proofs {
namespace {

bool Contains(const std::vector<base::NodeId>& nodes, base::NodeId node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

}  // namespace

PlannerModel::PlannerModel(base::ServiceId service, std::size_t bucket_count, Mutant mutant)
    : mutant_(mutant) {
  routing::BucketTable table;
  table.service = service;
  table.version = {1, 0, 1};
  table.buckets.assign(bucket_count, {table.version, base::NodeId(), {}});
  tables_.push_back(std::make_shared<const routing::BucketTable>(std::move(table)));
}

void PlannerModel::List(const routing::AgentEntry& agent) {
  routing::BucketTable table = Newest();
  std::erase_if(table.agents, [&](const auto& entry) { return entry.node == agent.node; });
  table.agents.push_back(agent);
  std::sort(table.agents.begin(), table.agents.end(),
            [](const auto& left, const auto& right) { return left.node < right.node; });
  for (routing::Bucket& bucket : table.buckets) {
    if (bucket.owner == base::NodeId()) {
      bucket.owner = agent.node;
    }
  }
  Publish(std::move(table));
}

void PlannerModel::DeclareDead(base::NodeId node) {
  routing::BucketTable table = Newest();
  std::erase_if(table.agents, [&](const auto& entry) { return entry.node == node; });
  const base::NodeId heir = table.agents.empty() ? base::NodeId() : table.agents.front().node;
  for (routing::Bucket& bucket : table.buckets) {
    std::erase(bucket.previous_owners, node);
    if (bucket.owner == node) {
      std::erase(bucket.previous_owners, heir);
      bucket.owner = heir;
    }
  }
  Publish(std::move(table));
}

void PlannerModel::Move(std::size_t bucket_index, base::NodeId node) {
  routing::BucketTable table = Newest();
  routing::Bucket& bucket = table.buckets[bucket_index];
  const bool has_room = bucket.previous_owners.size() < routing::kMaxPreviousOwners;
  if (!Lists(node) || bucket.owner == node ||
      (!has_room && !Contains(bucket.previous_owners, node))) {
    return;
  }
  std::erase(bucket.previous_owners, node);
  if (Lists(bucket.owner)) {
    bucket.previous_owners.insert(bucket.previous_owners.begin(), bucket.owner);
  }
  bucket.owner = node;
  Publish(std::move(table));
}

void PlannerModel::HandleReport(const routing::AgentReport& report) {
  const routing::AgentEntry* const agent = Newest().FindAgent(report.node);
  if (agent == nullptr || agent->incarnation != report.incarnation) {
    return;
  }
  routing::BucketTable table = Newest();
  for (std::size_t index = 0; index < report.flows_in_buckets.size(); ++index) {
    routing::Bucket& bucket = table.buckets[index];
    std::vector<base::NodeId>& chain = bucket.previous_owners;
    const bool is_named = bucket.owner == report.node || Contains(chain, report.node);
    const bool knows_entry =
        report.table_version >= bucket.version || mutant_ == Mutant::kTrustsOldReports;
    if (report.flows_in_buckets[index] == 0 && knows_entry) {
      std::erase(chain, report.node);
    } else if (report.flows_in_buckets[index] > 0 && !is_named &&
               chain.size() < routing::kMaxPreviousOwners) {
      chain.push_back(report.node);
    }
  }
  Publish(std::move(table));
}

std::size_t PlannerModel::ListedSince(base::NodeId node) const {
  std::size_t index = tables_.size() - 1;
  const routing::AgentEntry* newest = Newest().FindAgent(node);
  while (newest != nullptr && index > 0) {
    const routing::AgentEntry* earlier = tables_[index - 1]->FindAgent(node);
    if (earlier == nullptr || earlier->incarnation != newest->incarnation) {
      break;
    }
    --index;
  }
  return index;
}

void PlannerModel::Publish(routing::BucketTable table) {
  if (table == Newest()) {
    return;
  }
  ++table.version.sequence;
  for (std::size_t index = 0; index < table.buckets.size(); ++index) {
    if (table.buckets[index] != Newest().buckets[index]) {
      table.buckets[index].version = table.version;
    }
  }
  tables_.push_back(std::make_shared<const routing::BucketTable>(std::move(table)));
}

}  // namespace gaugevalve::proofs
