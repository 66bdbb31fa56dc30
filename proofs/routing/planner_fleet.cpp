#include "planner_fleet.h"

#include <algorithm>
#include <optional>

namespace gaugevalve::proofs {
namespace {

using routing::Bucket;
using routing::BucketTable;

constexpr base::ServiceId kService(5);
constexpr std::uint32_t kSlots = 7;

base::NodeId NodeOf(std::size_t agent) { return base::NodeId(agent + 1); }
std::size_t AgentOf(base::NodeId node) { return node.value() - 1; }

bool Names(const Bucket& bucket, base::NodeId node) {
  return bucket.owner == node ||
         std::find(bucket.previous_owners.begin(), bucket.previous_owners.end(), node) !=
             bucket.previous_owners.end();
}

routing::PlannerSettings MakeSettings() {
  routing::PlannerSettings settings;
  settings.bucket_count = PlannerFleet::kBuckets;
  settings.cold_start_ramp = std::chrono::seconds(10);
  settings.max_moves_per_step = 3;
  settings.max_moves_per_minute = 10;
  settings.smoothing_time = std::chrono::seconds(5);
  return settings;
}

}  // namespace

PlannerFleet::PlannerFleet(const routing::PlannerMechanisms& mechanisms, PolicyMaker make_policies,
                           const routing::FlowCountEncoderMechanisms& encoder_mechanisms)
    : mechanisms_(mechanisms),
      make_policies_(make_policies),
      encoder_mechanisms_(encoder_mechanisms),
      settings_(MakeSettings()) {
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    agents_[agent] = MakeAgent(base::Incarnation(1));
    routing::AgentStatus status;
    status.entry.node = NodeOf(agent);
    status.entry.incarnation = agents_[agent].incarnation;
    membership_view_.push_back(status);
  }
  MakePlanner();
  UpdatePlannerAgents();
  Step(0);
  for (std::uint32_t agent = 0; agent < kAgents; ++agent) {
    DeliverTable(agent, 0);
  }
}

PlannerFleet::Agent PlannerFleet::MakeAgent(base::Incarnation incarnation) const {
  Agent agent;
  agent.incarnation = incarnation;
  agent.entries.resize(kBuckets);
  agent.encoder.SetMechanisms(encoder_mechanisms_);
  return agent;
}

void PlannerFleet::MakePlanner() {
  planner_ = std::make_unique<routing::ServicePlanner>(kService, 1, generation_, settings_,
                                                       make_policies_(settings_));
  planner_->SetMechanisms(mechanisms_);
}

void PlannerFleet::UpdatePlannerAgents() { planner_->SetAgents(membership_view_, now_); }

void PlannerFleet::RecordViolation(const std::string& what) {
  if (violation_.empty()) {
    violation_ = what;
  }
}

void PlannerFleet::OpenFlow(std::uint32_t agent, std::uint32_t bucket) {
  Agent& opener = agents_[agent % kAgents];
  const std::size_t index = bucket % kBuckets;
  if (opener.entries[index].owner == NodeOf(agent % kAgents)) {
    ++opener.flows[index];
  }
}

void PlannerFleet::CloseFlows(std::uint32_t agent, std::uint32_t bucket) {
  agents_[agent % kAgents].flows[bucket % kBuckets] = 0;
}

void PlannerFleet::DeliverTable(std::uint32_t agent, std::uint32_t age) {
  if (published_.empty()) {
    return;
  }
  const BucketTable& table = published_[published_.size() - 1 - age % published_.size()];
  Agent& recipient = agents_[agent % kAgents];
  if (table.version < recipient.table_version) {
    return;
  }
  for (std::size_t index = 0; index < kBuckets; ++index) {
    if (table.buckets[index].version >= recipient.entries[index].version) {
      recipient.entries[index] = table.buckets[index];
    }
  }
  recipient.table_version = table.version;
  const routing::AgentEntry* const self = table.FindAgent(NodeOf(agent % kAgents));
  recipient.is_listed = self != nullptr && self->incarnation >= recipient.incarnation;
}

// A datagram carries the newest entry of one bucket, and no table.
void PlannerFleet::DeliverEntry(std::uint32_t agent, std::uint32_t bucket) {
  const std::size_t index = bucket % kBuckets;
  Bucket& known = agents_[agent % kAgents].entries[index];
  for (const BucketTable& table : published_) {
    if (table.buckets[index].version > known.version) {
      known = table.buckets[index];
    }
  }
}

routing::AgentReport PlannerFleet::MakeTrueReport(std::size_t agent, std::uint32_t busy) const {
  const Agent& reporter = agents_[agent];
  routing::AgentReport report;
  report.service = kService;
  report.node = NodeOf(agent);
  report.incarnation = reporter.incarnation;
  report.table_version = reporter.table_version;
  report.flows_in_buckets.assign(reporter.flows.begin(), reporter.flows.end());
  for (const std::uint32_t flows : reporter.flows) {
    report.open_flows += flows;
  }
  report.total_slots = kSlots;
  report.busy_slots = busy % (kSlots + 1);
  report.endpoint_uptime = std::chrono::hours(1);
  return report;
}

void PlannerFleet::SendReport(std::uint32_t agent, std::uint32_t busy) {
  Send(agent % kAgents, MakeTrueReport(agent % kAgents, busy));
}

void PlannerFleet::Send(std::size_t agent, routing::AgentReport report) {
  const std::vector<std::uint32_t> flows = report.flows_in_buckets;
  report.sequence = ++agents_[agent].last_sequence;
  agents_[agent].encoder.EncodeChanges(report);
  reports_.push_back({std::move(report), now_, flows});
}

void PlannerFleet::SendFalseReport(std::uint32_t seed) {
  routing::AgentReport false_report = MakeTrueReport(kFalseReporter, seed);
  for (std::size_t index = 0; index < kBuckets; ++index) {
    false_report.flows_in_buckets[index] = (seed >> (index % 16)) % 2 == 0 ? 0 : seed;
  }
  false_report.queued_requests = seed;
  false_report.endpoint_failures = seed;
  false_report.table_version.sequence += seed % 3;
  false_report.state =
      seed % 5 == 0 ? routing::AgentState::kDraining : routing::AgentState::kServing;
  Send(kFalseReporter, std::move(false_report));
}

void PlannerFleet::DeliverReport(std::uint32_t position) {
  if (reports_.empty()) {
    return;
  }
  const auto chosen = reports_.begin() + static_cast<std::ptrdiff_t>(position % reports_.size());
  const SentReport sent = *chosen;
  const routing::AgentReport& report = sent.report;
  reports_.erase(chosen);
  const routing::ReportOutcome outcome = planner_->HandleReport(report, now_);
  if (routing::ServicePlanner::MayAnswer(outcome)) {
    Answer(sent, outcome);
  }
  if (outcome != routing::ReportOutcome::kAccepted) {
    return;
  }
  CheckPlannerFlowCounts(sent);
  if (report.state == routing::AgentState::kDraining) {
    draining_.insert(report.node);
  } else {
    draining_.erase(report.node);
  }
}

// The confirmation of the table is assumed to reach the agent at once, but the outcome of its flow
// counts is delivered by an event.
void PlannerFleet::Answer(const SentReport& sent, routing::ReportOutcome outcome) {
  const routing::AgentReport& report = sent.report;
  planner_->NoteAnswered(report.node, report.incarnation, now_);
  Agent& reporter = agents_[AgentOf(report.node)];
  if (reporter.incarnation == report.incarnation) {
    reporter.confirmed_at = std::max(reporter.confirmed_at, sent.sent_at);
  }
  const bool is_taken = outcome == routing::ReportOutcome::kAccepted;
  const bool needs_whole = outcome == routing::ReportOutcome::kNeedsFullReport;
  answers_.push_back({AgentOf(report.node), report.incarnation, report.sequence,
                      is_taken      ? routing::FlowCountsOutcome::kAccepted
                      : needs_whole ? routing::FlowCountsOutcome::kNeedsFullReport
                                    : routing::FlowCountsOutcome::kRefused});
}

// The planner must know exactly which buckets were empty at the agent when it sent the report, and
// the counts of the others approximately.
void PlannerFleet::CheckPlannerFlowCounts(const SentReport& sent) {
  const routing::AgentReport* newest = planner_->NewestReport(sent.report.node);
  const std::vector<std::uint32_t>& known_counts = newest->flows_in_buckets;
  for (std::size_t index = 0; index < kBuckets; ++index) {
    const std::uint32_t flows = sent.flows[index];
    const std::uint32_t known = known_counts.size() == kBuckets ? known_counts[index] : 0;
    const bool is_near = flows <= known + known / 2 + 1 && known <= 2 * flows + 2;
    if ((flows == 0) != (known == 0) || !is_near) {
      RecordViolation("the planner's flow counts of an agent are wrong");
    }
  }
}

void PlannerFleet::RepeatReport(std::uint32_t position) {
  if (!reports_.empty()) {
    reports_.push_back(SentReport(reports_[position % reports_.size()]));
  }
}

void PlannerFleet::LoseReport(std::uint32_t position) {
  if (!reports_.empty()) {
    reports_.erase(reports_.begin() + static_cast<std::ptrdiff_t>(position % reports_.size()));
  }
}

void PlannerFleet::DeliverAnswer(std::uint32_t position) {
  if (answers_.empty()) {
    return;
  }
  const SentAnswer answer = answers_[position % answers_.size()];
  LoseAnswer(position);
  if (agents_[answer.agent].incarnation == answer.incarnation) {
    agents_[answer.agent].encoder.HandleAnswer(answer.sequence, answer.outcome);
  }
}

void PlannerFleet::LoseAnswer(std::uint32_t position) {
  if (!answers_.empty()) {
    answers_.erase(answers_.begin() + static_cast<std::ptrdiff_t>(position % answers_.size()));
  }
}

void PlannerFleet::SetLiveness(std::uint32_t agent, std::uint32_t liveness) {
  constexpr std::uint32_t kLivenessValues = 3;
  routing::AgentStatus& status = membership_view_[agent % kAgents];
  const base::Incarnation incarnation = agents_[agent % kAgents].incarnation;
  const bool was_dead =
      status.liveness == routing::AgentLiveness::kDead && status.entry.incarnation == incarnation;
  status.liveness = static_cast<routing::AgentLiveness>(liveness % kLivenessValues);
  status.entry.incarnation = incarnation;
  if (!was_dead) {
    declared_dead_at_[agent % kAgents] = now_;
  }
  UpdatePlannerAgents();
}

void PlannerFleet::DeclareDead(std::uint32_t agent) {
  SetLiveness(agent, static_cast<std::uint32_t>(routing::AgentLiveness::kDead));
}

// The agent's flows end with it and it opens no more. It returns as another incarnation.
void PlannerFleet::LeaveGracefully(std::uint32_t agent) {
  Agent& leaver = agents_[agent % kAgents];
  const base::Incarnation last = leaver.incarnation;
  planner_->NoteGracefulLeave(NodeOf(agent % kAgents), last);
  leaver = MakeAgent(base::Incarnation(last.value() + 1));
  routing::AgentStatus& status = membership_view_[agent % kAgents];
  if (status.liveness != routing::AgentLiveness::kDead) {
    declared_dead_at_[agent % kAgents] = now_;
  }
  status.liveness = routing::AgentLiveness::kDead;
  draining_.erase(NodeOf(agent % kAgents));
  UpdatePlannerAgents();
}

void PlannerFleet::Restart(std::uint32_t agent) {
  Agent& restarted = agents_[agent % kAgents];
  const base::Incarnation next(restarted.incarnation.value() + 1);
  restarted = MakeAgent(next);
  membership_view_[agent % kAgents].entry.incarnation = next;
  // If it is declared dead, this incarnation counts from now.
  declared_dead_at_[agent % kAgents] = now_;
  // The planner discards the report of a former incarnation.
  draining_.erase(NodeOf(agent % kAgents));
  UpdatePlannerAgents();
}

void PlannerFleet::TakeOver(std::uint32_t age) {
  if (published_.empty()) {
    return;
  }
  const BucketTable& table = published_[published_.size() - 1 - age % published_.size()];
  ++generation_;
  MakePlanner();
  planner_->TakeOver(table);
  draining_.clear();
  moves_.clear();  // each planner has its own limit
  declared_dead_at_.fill(now_);
  UpdatePlannerAgents();
}

void PlannerFleet::Step(std::uint32_t milliseconds) {
  now_ += std::chrono::milliseconds(milliseconds);
  const BucketTable before = planner_->Table();
  const std::optional<routing::TableDelta> delta = planner_->Step(now_);
  if (delta) {
    Check(before, *delta);
    published_.push_back(planner_->Table());
  }
}

bool PlannerFleet::IsDeclaredAlive(base::NodeId node) const {
  return node != base::NodeId() &&
         membership_view_[AgentOf(node)].liveness != routing::AgentLiveness::kDead;
}

// The buckets of a dead agent may be held for this long at most.
bool PlannerFleet::IsHeld(base::NodeId node) const {
  return node != base::NodeId() && !IsDeclaredAlive(node) &&
         now_ < declared_dead_at_[AgentOf(node)] + routing::kDeadAgentHold;
}

// By the agent's own clock and table, whatever others know about it.
bool PlannerFleet::MayOpen(std::size_t agent) const {
  return agents_[agent].is_listed && agents_[agent].confirmed_at >= now_ - routing::kFreshnessLimit;
}

bool PlannerFleet::MayOwn(base::NodeId node) const {
  return node != base::NodeId() && !draining_.contains(node) &&
         membership_view_[AgentOf(node)].liveness == routing::AgentLiveness::kLive;
}

bool PlannerFleet::AnyAgentMayOwn() const {
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    if (MayOwn(NodeOf(agent))) {
      return true;
    }
  }
  return false;
}

void PlannerFleet::Check(const BucketTable& before, const routing::TableDelta& delta) {
  const BucketTable& after = planner_->Table();
  if (delta.version <= before.version) {
    RecordViolation("the version didn't grow");
  }
  BucketTable applied = before;
  if (!applied.Apply(delta) || applied != after) {
    RecordViolation("applying the delta doesn't give the planner's table");
  }
  if (!AnyAgentMayOwn()) {
    RecordViolation("the table changed although no agent may own a bucket");
  }
  for (std::size_t index = 0; index < kBuckets; ++index) {
    CheckBucket(index, before.buckets[index], after.buckets[index]);
  }
  CheckMoves(before, after);
}

void PlannerFleet::CheckBucket(std::size_t index, const Bucket& before, const Bucket& after) {
  const std::vector<base::NodeId>& chain = after.previous_owners;
  const std::set<base::NodeId> distinct(chain.begin(), chain.end());
  if (chain.size() > routing::kMaxPreviousOwners || distinct.size() != chain.size() ||
      distinct.contains(after.owner)) {
    RecordViolation("a chain is too long or names an agent twice");
  }
  for (const base::NodeId node : chain) {
    const bool may_be_named = IsDeclaredAlive(node) || IsHeld(node);
    if (!may_be_named || planner_->Table().FindAgent(node) == nullptr) {
      RecordViolation("a chain names a dead agent");
    }
  }
  const bool chain_blocks =
      IsDeclaredAlive(after.owner) && chain.size() == routing::kMaxPreviousOwners &&
      std::none_of(chain.begin(), chain.end(), [&](base::NodeId node) { return MayOwn(node); });
  if (!MayOwn(after.owner) && !chain_blocks && !IsHeld(after.owner)) {
    RecordViolation("a bucket's owner isn't live");
  }
  if (IsHeld(after.owner) && after.owner != before.owner) {
    RecordViolation("a bucket was given to a dead agent");
  }
  const bool changed = before.owner != after.owner || before.previous_owners != chain;
  if (changed && after.version != planner_->Table().version) {
    RecordViolation("a changed bucket has an old version");
  }
  CheckDropped(index, before, after);
  CheckReassignedFromDead(index, before, after);
}

// An agent that is isolated from control continues as the owner until its table is too old. After a
// restart or a graceful leave its entries are gone.
void PlannerFleet::CheckReassignedFromDead(std::size_t index, const Bucket& before,
                                           const Bucket& after) {
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    const base::NodeId node = NodeOf(agent);
    const bool given_away = before.owner == node && after.owner != node;
    // The agent with false reports may have claimed that it has the entry which omits it.
    const bool dropped = agent != kFalseReporter && Names(before, node) && !Names(after, node);
    const bool opens = agents_[agent].entries[index].owner == node && MayOpen(agent);
    if (!IsDeclaredAlive(node) && (given_away || dropped) && opens) {
      RecordViolation("a bucket of a dead agent that still opens flows was reassigned");
    }
  }
}

// An agent that is no longer listed must hold no flows, and must know that it may open none.
void PlannerFleet::CheckDropped(std::size_t index, const Bucket& before, const Bucket& after) {
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    const base::NodeId node = NodeOf(agent);
    const bool dropped = Names(before, node) && !Names(after, node);
    if (agent == kFalseReporter || !dropped || !IsDeclaredAlive(node)) {
      continue;
    }
    if (agents_[agent].flows[index] > 0) {
      RecordViolation("an agent with flows was dropped from a bucket");
    }
    if (agents_[agent].entries[index].owner == node) {
      RecordViolation("an agent that still opens flows was dropped from a bucket");
    }
  }
}

void PlannerFleet::CheckMoves(const BucketTable& before, const BucketTable& after) {
  std::size_t count = 0;
  for (std::size_t index = 0; index < kBuckets; ++index) {
    const base::NodeId owner = before.buckets[index].owner;
    count += owner != after.buckets[index].owner && MayOwn(owner) ? 1 : 0;
  }
  constexpr auto kMinute = std::chrono::minutes(1);
  moves_.push_back({now_, count});
  while (moves_.front().at <= now_ - kMinute) {
    moves_.pop_front();
  }
  std::size_t in_a_minute = 0;
  for (const Moves& moves : moves_) {
    in_a_minute += moves.count;
  }
  // The limit allows the allowance kept from one minute and that of the next.
  if (count > settings_.max_moves_per_step || in_a_minute > 2 * settings_.max_moves_per_minute) {
    RecordViolation("more buckets moved than the bounds allow");
  }
}

void PlannerFleet::RunUntilStable() {
  constexpr int kSteps = 240;
  constexpr std::uint32_t kStepMilliseconds = 1000;
  reports_.clear();
  answers_.clear();
  for (int step = 0; step < kSteps; ++step) {
    for (std::uint32_t agent = 0; agent < kAgents; ++agent) {
      DeliverTable(agent, 0);
      SendReport(agent, agent);
      DeliverReport(0);
      DeliverAnswer(0);
    }
    Step(kStepMilliseconds);
  }
}

std::string PlannerFleet::ViolationWhenStable() const {
  const BucketTable& table = planner_->Table();
  for (std::size_t index = 0; index < kBuckets; ++index) {
    for (std::size_t agent = 0; agent < kAgents; ++agent) {
      const Bucket& bucket = table.buckets[index];
      const base::NodeId node = NodeOf(agent);
      const bool has_room = bucket.previous_owners.size() < routing::kMaxPreviousOwners;
      const bool holds = agents_[agent].flows[index] > 0 && IsDeclaredAlive(node);
      if (AnyAgentMayOwn() && holds && !Names(bucket, node) && has_room) {
        return "an agent with flows isn't listed in the stable table";
      }
    }
  }
  constexpr auto kStablePeriod = std::chrono::seconds(60);
  if (!moves_.empty() && moves_.back().at > now_ - kStablePeriod && moves_.back().count > 0) {
    return "buckets still move although nothing changes";
  }
  return {};
}

}  // namespace gaugevalve::proofs
