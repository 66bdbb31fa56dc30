#include "gaugevalve/routing/service_planner.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "gaugevalve/routing/cold_start_ramp.h"
#include "gaugevalve/routing/load_steering.h"
#include "gaugevalve/routing/minimal_movement.h"
#include "gaugevalve/routing/outlier_ejection.h"
#include "gaugevalve/routing/zone_preference.h"

namespace gaugevalve::routing {
namespace {

// Sorts by node; of two entries with one node only the newer incarnation stays.
std::vector<AgentStatus> SortedUnique(std::vector<AgentStatus> agents) {
  std::sort(agents.begin(), agents.end(), [](const AgentStatus& left, const AgentStatus& right) {
    return std::pair(left.entry.node, right.entry.incarnation) <
           std::pair(right.entry.node, left.entry.incarnation);
  });
  const auto last = std::unique(agents.begin(), agents.end(),
                                [](const AgentStatus& left, const AgentStatus& right) {
                                  return left.entry.node == right.entry.node;
                                });
  agents.erase(last, agents.end());
  return agents;
}

bool Contains(const std::vector<base::NodeId>& nodes, base::NodeId node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

}  // namespace

PlannerPolicies MakePlannerPolicies(const PlannerSettings& settings) {
  PlannerPolicies policies;
  policies.shares.push_back(
      std::make_unique<ColdStartRamp>(settings.cold_start_ramp, settings.cold_start_steps));
  policies.shares.push_back(std::make_unique<OutlierEjection>(
      settings.ejection_failure_rate, settings.ejection_time, settings.max_ejected_share));
  policies.shares.push_back(
      std::make_unique<ZonePreference>(settings.preferred_zones, settings.spill_utilisation));
  policies.shares.push_back(
      std::make_unique<LoadSteering>(settings.steering_gain, settings.steering_hysteresis));
  policies.assignment = std::make_unique<MinimalMovement>(settings.assignment_hysteresis);
  return policies;
}

ServicePlanner::ServicePlanner(base::ServiceId service, std::uint64_t epoch,
                               std::uint32_t generation, const PlannerSettings& settings)
    : ServicePlanner(service, epoch, generation, settings, MakePlannerPolicies(settings)) {}

ServicePlanner::ServicePlanner(base::ServiceId service, std::uint64_t epoch,
                               std::uint32_t generation, PlannerSettings settings,
                               PlannerPolicies policies)
    : settings_(std::move(settings)),
      policies_(std::move(policies)),
      epoch_(epoch),
      generation_(generation),
      ledger_(settings_.smoothing_time, settings_.report_timeout),
      dead_agents_(settings_.dead_agent_hold),
      budget_(settings_.max_moves_per_step, settings_.max_moves_per_minute) {
  table_.service = service;
  table_.buckets.assign(settings_.bucket_count, Bucket{});
}

void ServicePlanner::TakeOver(BucketTable table) {
  if (table.service != table_.service || table.buckets.empty()) {
    throw std::invalid_argument("the table isn't one of the planner's service");
  }
  if (table.version >= TableVersion{epoch_, generation_, 1}) {
    throw std::invalid_argument("the table is newer than the planner's generation");
  }
  table_ = std::move(table);
  took_over_ = true;
}

void ServicePlanner::SetAgents(std::vector<AgentStatus> agents, base::TimePoint now) {
  std::vector<AgentStatus> sorted = SortedUnique(std::move(agents));
  if (sorted == agents_) {
    return;
  }
  agents_ = std::move(sorted);
  urgent_ = true;
  if (mechanisms_.hold_buckets_of_the_dead) {
    dead_agents_.Update(table_.agents, agents_, now);
  }
  ledger_.Retain([&](base::NodeId node, base::Incarnation incarnation) {
    const AgentStatus* status = FindStatus(node);
    return status != nullptr && status->entry.incarnation == incarnation;
  });
  std::erase_if(lives_, [&](const auto& entry) { return FindStatus(entry.first) == nullptr; });
  for (const AgentStatus& status : agents_) {
    NoteLife(status, now);
  }
}

void ServicePlanner::NoteLife(const AgentStatus& status, base::TimePoint now) {
  const auto known = lives_.find(status.entry.node);
  if (known != lives_.end() && known->second.incarnation == status.entry.incarnation) {
    return;
  }
  // A life that the table already names isn't new, whatever this planner has seen of it.
  const AgentEntry* entry = table_.FindAgent(status.entry.node);
  const bool in_table = entry != nullptr && entry->incarnation == status.entry.incarnation;
  const base::TimePoint first_seen = in_table ? now - settings_.cold_start_ramp : now;
  lives_[status.entry.node] = Life{status.entry.incarnation, first_seen};
}

const AgentStatus* ServicePlanner::FindStatus(base::NodeId node) const {
  const auto found = std::lower_bound(
      agents_.begin(), agents_.end(), node,
      [](const AgentStatus& status, base::NodeId wanted) { return status.entry.node < wanted; });
  return found != agents_.end() && found->entry.node == node ? &*found : nullptr;
}

bool ServicePlanner::IsDeclaredAlive(base::NodeId node) const {
  const AgentStatus* status = FindStatus(node);
  return status != nullptr && status->liveness != AgentLiveness::kDead;
}

bool ServicePlanner::MayHoldFlows(base::NodeId node) const {
  return IsDeclaredAlive(node) || dead_agents_.Holds(node);
}

ReportOutcome ServicePlanner::Check(const AgentReport& report) const {
  if (report.service != table_.service) {
    return ReportOutcome::kWrongService;
  }
  const AgentStatus* status = FindStatus(report.node);
  if (status == nullptr || status->liveness == AgentLiveness::kDead) {
    return ReportOutcome::kUnknownAgent;
  }
  if (report.incarnation != status->entry.incarnation) {
    return ReportOutcome::kOtherIncarnation;
  }
  // Former planners may have published more than this one took over; nobody else may.
  const TableVersion newest_known = std::max(table_.version, TableVersion{epoch_, generation_, 0});
  if (report.table_version > newest_known) {
    return ReportOutcome::kFutureTable;
  }
  const std::size_t counts = report.flows_in_buckets.size();
  const bool fits = counts == 0 || counts == table_.buckets.size();
  return fits ? ReportOutcome::kAccepted : ReportOutcome::kWrongBucketCount;
}

ReportOutcome ServicePlanner::HandleReport(const AgentReport& report, base::TimePoint now) {
  ReportOutcome outcome = Check(report);
  if (outcome == ReportOutcome::kAccepted) {
    outcome = ledger_.Take(report, now);
  }
  if (outcome != ReportOutcome::kAccepted) {
    ++counters_.reports_refused;
  }
  return outcome;
}

bool ServicePlanner::MayAnswer(ReportOutcome outcome) {
  switch (outcome) {
    case ReportOutcome::kAccepted:
    case ReportOutcome::kOlderThanKnown:
    case ReportOutcome::kWrongBucketCount:
    case ReportOutcome::kNeedsFullReport:
      return true;
    default:
      return false;
  }
}

void ServicePlanner::NoteAnswered(base::NodeId node, base::Incarnation incarnation,
                                  base::TimePoint now) {
  dead_agents_.NoteAnswered(node, incarnation, now);
}

void ServicePlanner::NoteGracefulLeave(base::NodeId node, base::Incarnation incarnation) {
  dead_agents_.NoteGracefulLeave(node, incarnation);
}

std::vector<AssignmentCandidate> ServicePlanner::MakeCandidates(base::TimePoint now) {
  std::vector<AgentView> views;
  for (const AgentStatus& status : agents_) {
    const AgentReport* report = ledger_.Find(status.entry.node);
    const bool draining = report != nullptr && report->state == AgentState::kDraining;
    if (status.liveness == AgentLiveness::kLive && !draining) {
      views.push_back(ledger_.View(status, lives_.at(status.entry.node).first_seen, now));
    }
  }
  std::vector<double> shares;
  shares.reserve(views.size());
  for (const AgentView& view : views) {
    shares.push_back(view.weight);
  }
  for (const std::unique_ptr<SharePolicy>& policy : policies_.shares) {
    policy->Adjust(views, now, shares);
  }
  std::vector<AssignmentCandidate> candidates;
  for (std::size_t position = 0; position < views.size(); ++position) {
    candidates.push_back({views[position].node, views[position].zone, shares[position]});
  }
  return candidates;
}

// All buckets but those of held agents, which nobody else may be given.
std::vector<base::BucketIndex> ServicePlanner::FreeBuckets(const BucketTable& table) const {
  std::vector<base::BucketIndex> indices;
  indices.reserve(table.buckets.size());
  for (std::size_t position = 0; position < table.buckets.size(); ++position) {
    if (!dead_agents_.Holds(table.buckets[position].owner)) {
      indices.emplace_back(static_cast<std::uint16_t>(position));
    }
  }
  return indices;
}

std::vector<AssignmentBucket> ServicePlanner::MakeAssignmentBuckets(
    const BucketTable& table, const std::vector<base::BucketIndex>& indices) const {
  std::vector<AssignmentBucket> buckets;
  buckets.reserve(indices.size());
  for (const base::BucketIndex index : indices) {
    const Bucket& bucket = table.buckets[index.value()];
    const AgentEntry* owner = table.FindAgent(bucket.owner);
    AssignmentBucket& view = buckets.emplace_back();
    view.owner = bucket.owner;
    view.owner_zone = owner != nullptr ? owner->zone : std::string();
    view.owner_alive = IsDeclaredAlive(bucket.owner);
    view.flows_at_owner = ledger_.FlowsInBucket(bucket.owner, index.value()).value_or(0);
    view.previous_owners = bucket.previous_owners;
  }
  return buckets;
}

Assignment ServicePlanner::Assign(const std::vector<AssignmentCandidate>& candidates,
                                  const BucketTable& table, std::size_t allowance) const {
  const std::vector<base::BucketIndex> indices = FreeBuckets(table);
  Assignment assignment =
      policies_.assignment->Assign(candidates, MakeAssignmentBuckets(table, indices), allowance);
  for (std::vector<BucketMove>* moves : {&assignment.forced, &assignment.optional}) {
    for (BucketMove& move : *moves) {
      move.index = indices[move.index.value()];
    }
  }
  return assignment;
}

std::vector<AgentEntry> ServicePlanner::ListedAgents() const {
  std::vector<AgentEntry> agents;
  for (const AgentStatus& status : agents_) {
    if (status.liveness != AgentLiveness::kDead) {
      agents.push_back(status.entry);
    }
  }
  dead_agents_.AppendTo(agents);
  std::sort(agents.begin(), agents.end(),
            [](const AgentEntry& left, const AgentEntry& right) { return left.node < right.node; });
  return agents;
}

void ServicePlanner::DropDeadFromChains(BucketTable& next) const {
  for (Bucket& bucket : next.buckets) {
    std::erase_if(bucket.previous_owners, [&](base::NodeId node) { return !MayHoldFlows(node); });
  }
}

bool ServicePlanner::HoldsNothing(base::NodeId node, std::size_t index,
                                  const Bucket& bucket) const {
  const AgentReport* report = ledger_.Find(node);
  if (report == nullptr) {
    return false;
  }
  if (mechanisms_.current_reports_only && report->table_version < bucket.version) {
    return false;
  }
  return ledger_.FlowsInBucket(node, index) == 0U;
}

bool ServicePlanner::UpdateChain(std::size_t index, Bucket& bucket) const {
  const std::vector<base::NodeId> before = bucket.previous_owners;
  std::erase_if(bucket.previous_owners,
                [&](base::NodeId node) { return HoldsNothing(node, index, bucket); });
  if (!mechanisms_.restore_holders) {
    return bucket.previous_owners != before;
  }
  for (const AgentStatus& status : agents_) {
    const base::NodeId node = status.entry.node;
    const bool holds_flows = ledger_.FlowsInBucket(node, index).value_or(0) > 0;
    const bool named = node == bucket.owner || Contains(bucket.previous_owners, node);
    const bool has_room = bucket.previous_owners.size() < kMaxPreviousOwners;
    if (holds_flows && !named && has_room && IsDeclaredAlive(node)) {
      bucket.previous_owners.push_back(node);
    }
  }
  return bucket.previous_owners != before;
}

void ServicePlanner::UpdateChains(BucketTable& next) {
  std::uint32_t updates = 0;
  for (std::size_t index = 0; index < next.buckets.size(); ++index) {
    if (updates >= settings_.max_chain_updates_per_step) {
      break;
    }
    updates += UpdateChain(index, next.buckets[index]) ? 1 : 0;
  }
  counters_.chain_updates += updates;
}

void ServicePlanner::ApplyMoves(const std::vector<BucketMove>& moves, BucketTable& next) const {
  for (const BucketMove& move : moves) {
    Bucket& bucket = next.buckets[move.index.value()];
    std::erase(bucket.previous_owners, move.new_owner);
    if (mechanisms_.keep_previous_owner && IsDeclaredAlive(bucket.owner)) {
      bucket.previous_owners.insert(bucket.previous_owners.begin(), bucket.owner);
    }
    bucket.owner = move.new_owner;
  }
}

bool ServicePlanner::HaveAllReported() const {
  return std::all_of(agents_.begin(), agents_.end(), [&](const AgentStatus& status) {
    return status.liveness == AgentLiveness::kDead || ledger_.Find(status.entry.node) != nullptr;
  });
}

bool ServicePlanner::IsSettling(base::TimePoint now) {
  if (!took_over_) {
    return false;
  }
  if (!settled_at_) {
    settled_at_ = now + settings_.take_over_settling;
  }
  return now < *settled_at_ && !HaveAllReported();
}

void ServicePlanner::FillChains(BucketTable& next) const {
  const std::vector<AgentEntry> listed = ListedAgents();
  for (std::size_t index = 0; index < next.buckets.size(); ++index) {
    Bucket& bucket = next.buckets[index];
    std::vector<base::NodeId> others;
    for (const AgentEntry& agent : listed) {
      const bool named = agent.node == bucket.owner || Contains(bucket.previous_owners, agent.node);
      if (!named) {
        others.push_back(agent.node);
      }
    }
    std::stable_sort(others.begin(), others.end(), [&](base::NodeId left, base::NodeId right) {
      return ledger_.FlowsInBucket(left, index).value_or(0) >
             ledger_.FlowsInBucket(right, index).value_or(0);
    });
    const std::size_t room = kMaxPreviousOwners - bucket.previous_owners.size();
    others.resize(std::min(others.size(), room));
    bucket.previous_owners.insert(bucket.previous_owners.end(), others.begin(), others.end());
  }
}

std::optional<TableDelta> ServicePlanner::Publish(BucketTable next, bool stamp_all) {
  if (!stamp_all && next.agents == table_.agents && next.buckets == table_.buckets) {
    return std::nullopt;
  }
  ++sequence_;
  next.version = TableVersion{epoch_, generation_, sequence_};
  for (std::size_t index = 0; index < next.buckets.size(); ++index) {
    if (stamp_all || next.buckets[index] != table_.buckets[index]) {
      next.buckets[index].version = next.version;
    }
  }
  NoteListings(next, stamp_all);
  TableDelta delta = MakeDelta(table_, next);
  table_ = std::move(next);
  ++counters_.deltas;
  return delta;
}

// After a take-over nothing is known of what agents were told, so they need the first own table.
void ServicePlanner::NoteListings(const BucketTable& next, bool starts_over) {
  std::map<base::NodeId, Listing> listings;
  for (const AgentEntry& entry : next.agents) {
    const auto known = listings_.find(entry.node);
    const bool goes_on =
        !starts_over && known != listings_.end() && known->second.incarnation == entry.incarnation;
    listings[entry.node] = goes_on ? known->second : Listing{entry.incarnation, next.version};
  }
  listings_ = std::move(listings);
}

TableVersion ServicePlanner::ListedSince(base::NodeId node, base::Incarnation incarnation) const {
  const auto known = listings_.find(node);
  const bool is_listed = known != listings_.end() && known->second.incarnation == incarnation;
  return is_listed ? known->second.since : table_.version;
}

std::optional<TableDelta> ServicePlanner::Step(base::TimePoint now) {
  urgent_ = dead_agents_.Release(now) || urgent_;
  if (!urgent_ && now < next_step_) {
    return std::nullopt;
  }
  if (IsSettling(now)) {
    return std::nullopt;
  }
  urgent_ = false;
  next_step_ = now + settings_.step_interval;
  const std::vector<AssignmentCandidate> candidates = MakeCandidates(now);
  if (candidates.empty()) {
    return std::nullopt;
  }
  BucketTable next = table_;
  DropDeadFromChains(next);
  const bool starts_over = std::exchange(took_over_, false) && mechanisms_.start_over_on_take_over;
  if (starts_over) {
    FillChains(next);
  } else {
    UpdateChains(next);
  }
  const Assignment assignment = Assign(candidates, next, budget_.Available(now));
  ApplyMoves(assignment.forced, next);
  ApplyMoves(assignment.optional, next);
  next.agents = ListedAgents();
  budget_.Spend(assignment.optional.size());
  counters_.forced_moves += assignment.forced.size();
  counters_.optional_moves += assignment.optional.size();
  counters_.blocked_moves += assignment.blocked;
  return Publish(std::move(next), starts_over);
}

}  // namespace gaugevalve::routing
