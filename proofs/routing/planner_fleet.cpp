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
                           const routing::FlowCountEncoderMechanisms& digest_mechanisms)
    : mechanisms_(mechanisms),
      make_policies_(make_policies),
      digest_mechanisms_(digest_mechanisms),
      settings_(MakeSettings()) {
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    agents_[agent] = MakeLife(base::Incarnation(1));
    routing::AgentStatus status;
    status.entry.node = NodeOf(agent);
    status.entry.incarnation = agents_[agent].incarnation;
    told_.push_back(status);
  }
  MakePlanner();
  TellPlanner();
  Step(0);
  for (std::uint32_t agent = 0; agent < kAgents; ++agent) {
    GiveTable(agent, 0);
  }
}

PlannerFleet::Agent PlannerFleet::MakeLife(base::Incarnation incarnation) const {
  Agent agent;
  agent.incarnation = incarnation;
  agent.entries.resize(kBuckets);
  agent.digest.SetMechanisms(digest_mechanisms_);
  return agent;
}

void PlannerFleet::MakePlanner() {
  planner_ = std::make_unique<routing::ServicePlanner>(kService, 1, generation_, settings_,
                                                       make_policies_(settings_));
  planner_->SetMechanisms(mechanisms_);
}

void PlannerFleet::TellPlanner() { planner_->SetAgents(told_, now_); }

void PlannerFleet::Blame(const std::string& what) {
  if (fault_.empty()) {
    fault_ = what;
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

void PlannerFleet::GiveTable(std::uint32_t agent, std::uint32_t age) {
  if (published_.empty()) {
    return;
  }
  const BucketTable& table = published_[published_.size() - 1 - age % published_.size()];
  Agent& taker = agents_[agent % kAgents];
  if (table.version < taker.table_version) {
    return;
  }
  for (std::size_t index = 0; index < kBuckets; ++index) {
    if (table.buckets[index].version >= taker.entries[index].version) {
      taker.entries[index] = table.buckets[index];
    }
  }
  taker.table_version = table.version;
  const routing::AgentEntry* const self = table.FindAgent(NodeOf(agent % kAgents));
  taker.is_listed = self != nullptr && self->incarnation >= taker.incarnation;
}

// A datagram brings the newest entry of one bucket, and no table.
void PlannerFleet::GiveEntry(std::uint32_t agent, std::uint32_t bucket) {
  const std::size_t index = bucket % kBuckets;
  Bucket& known = agents_[agent % kAgents].entries[index];
  for (const BucketTable& table : published_) {
    if (table.buckets[index].version > known.version) {
      known = table.buckets[index];
    }
  }
}

routing::AgentReport PlannerFleet::HonestReport(std::size_t agent, std::uint32_t busy) const {
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
  Send(agent % kAgents, HonestReport(agent % kAgents, busy));
}

void PlannerFleet::Send(std::size_t agent, routing::AgentReport report) {
  const std::vector<std::uint32_t> flows = report.flows_in_buckets;
  report.sequence = ++agents_[agent].last_sequence;
  agents_[agent].digest.EncodeChanges(report);
  reports_.push_back({std::move(report), now_, flows});
}

void PlannerFleet::SendLie(std::uint32_t seed) {
  routing::AgentReport lie = HonestReport(kLiar, seed);
  for (std::size_t index = 0; index < kBuckets; ++index) {
    lie.flows_in_buckets[index] = (seed >> (index % 16)) % 2 == 0 ? 0 : seed;
  }
  lie.queued_requests = seed;
  lie.endpoint_failures = seed;
  lie.table_version.sequence += seed % 3;
  lie.state = seed % 5 == 0 ? routing::AgentState::kDraining : routing::AgentState::kServing;
  Send(kLiar, std::move(lie));
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
  CheckPicture(sent);
  if (report.state == routing::AgentState::kDraining) {
    draining_.insert(report.node);
  } else {
    draining_.erase(report.node);
  }
}

// That an agent's table is fresh is taken to reach it at once, what became of its flows isn't.
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

// What the planner has of an agent is what the agent had when it sent the report: which buckets are
// empty exactly, and the counts roughly.
void PlannerFleet::CheckPicture(const SentReport& sent) {
  const routing::AgentReport* newest = planner_->NewestReport(sent.report.node);
  const std::vector<std::uint32_t>& picture = newest->flows_in_buckets;
  for (std::size_t index = 0; index < kBuckets; ++index) {
    const std::uint32_t flows = sent.flows[index];
    const std::uint32_t known = picture.size() == kBuckets ? picture[index] : 0;
    const bool is_near = flows <= known + known / 2 + 1 && known <= 2 * flows + 2;
    if ((flows == 0) != (known == 0) || !is_near) {
      Blame("the planner's picture of an agent's flows is wrong");
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
    agents_[answer.agent].digest.HandleAnswer(answer.sequence, answer.outcome);
  }
}

void PlannerFleet::LoseAnswer(std::uint32_t position) {
  if (!answers_.empty()) {
    answers_.erase(answers_.begin() + static_cast<std::ptrdiff_t>(position % answers_.size()));
  }
}

void PlannerFleet::TellStanding(std::uint32_t agent, std::uint32_t liveness) {
  constexpr std::uint32_t kStandings = 3;
  routing::AgentStatus& status = told_[agent % kAgents];
  const base::Incarnation life = agents_[agent % kAgents].incarnation;
  const bool was_dead =
      status.liveness == routing::AgentLiveness::kDead && status.entry.incarnation == life;
  status.liveness = static_cast<routing::AgentLiveness>(liveness % kStandings);
  status.entry.incarnation = life;
  if (!was_dead) {
    told_dead_at_[agent % kAgents] = now_;
  }
  TellPlanner();
}

void PlannerFleet::TellDead(std::uint32_t agent) {
  TellStanding(agent, static_cast<std::uint32_t>(routing::AgentLiveness::kDead));
}

// What it held ends with it, and it opens nothing any more; it comes back as another life.
void PlannerFleet::SayFarewell(std::uint32_t agent) {
  Agent& leaver = agents_[agent % kAgents];
  const base::Incarnation last = leaver.incarnation;
  planner_->NoteGracefulLeave(NodeOf(agent % kAgents), last);
  leaver = MakeLife(base::Incarnation(last.value() + 1));
  routing::AgentStatus& status = told_[agent % kAgents];
  if (status.liveness != routing::AgentLiveness::kDead) {
    told_dead_at_[agent % kAgents] = now_;
  }
  status.liveness = routing::AgentLiveness::kDead;
  draining_.erase(NodeOf(agent % kAgents));
  TellPlanner();
}

void PlannerFleet::Restart(std::uint32_t agent) {
  Agent& restarted = agents_[agent % kAgents];
  const base::Incarnation next(restarted.incarnation.value() + 1);
  restarted = MakeLife(next);
  told_[agent % kAgents].entry.incarnation = next;
  told_dead_at_[agent % kAgents] = now_;     // if it is told dead, then of this life from now on
  draining_.erase(NodeOf(agent % kAgents));  // the planner forgets a former life's report
  TellPlanner();
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
  moves_.clear();  // the bound is each planner's own
  told_dead_at_.fill(now_);
  TellPlanner();
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

bool PlannerFleet::IsToldAlive(base::NodeId node) const {
  return node != base::NodeId() && told_[AgentOf(node)].liveness != routing::AgentLiveness::kDead;
}

// A dead agent's buckets may wait for this long, and not longer.
bool PlannerFleet::IsHeld(base::NodeId node) const {
  return node != base::NodeId() && !IsToldAlive(node) &&
         now_ < told_dead_at_[AgentOf(node)] + routing::kDeadAgentHold;
}

// By its clock and its table, whatever others say of it.
bool PlannerFleet::MayOpen(std::size_t agent) const {
  return agents_[agent].is_listed && agents_[agent].confirmed_at >= now_ - routing::kFreshnessLimit;
}

bool PlannerFleet::MayOwn(base::NodeId node) const {
  return node != base::NodeId() && !draining_.contains(node) &&
         told_[AgentOf(node)].liveness == routing::AgentLiveness::kLive;
}

bool PlannerFleet::AnybodyMayOwn() const {
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
    Blame("the version didn't grow");
  }
  BucketTable applied = before;
  if (!applied.Apply(delta) || applied != after) {
    Blame("the delta doesn't make the planner's table");
  }
  if (!AnybodyMayOwn()) {
    Blame("the last table should have stayed");
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
    Blame("a chain is too long or names an agent twice");
  }
  for (const base::NodeId node : chain) {
    const bool may_be_named = IsToldAlive(node) || IsHeld(node);
    if (!may_be_named || planner_->Table().FindAgent(node) == nullptr) {
      Blame("a chain names a dead agent");
    }
  }
  const bool chain_blocks =
      IsToldAlive(after.owner) && chain.size() == routing::kMaxPreviousOwners &&
      std::none_of(chain.begin(), chain.end(), [&](base::NodeId node) { return MayOwn(node); });
  if (!MayOwn(after.owner) && !chain_blocks && !IsHeld(after.owner)) {
    Blame("a bucket's owner isn't live");
  }
  if (IsHeld(after.owner) && after.owner != before.owner) {
    Blame("a bucket was given to a dead agent");
  }
  const bool changed = before.owner != after.owner || before.previous_owners != chain;
  if (changed && after.version != planner_->Table().version) {
    Blame("a changed bucket has an old version");
  }
  CheckDropped(index, before, after);
  CheckTakenFromDead(index, before, after);
}

// An agent that is cut off from control goes on as the owner that it was, until its table is too
// old. Another life of it, or its farewell, has forgotten its entries.
void PlannerFleet::CheckTakenFromDead(std::size_t index, const Bucket& before,
                                      const Bucket& after) {
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    const base::NodeId node = NodeOf(agent);
    const bool given_away = before.owner == node && after.owner != node;
    // The liar may have said that it knows the entry which leaves it out.
    const bool dropped = agent != kLiar && Names(before, node) && !Names(after, node);
    const bool opens = agents_[agent].entries[index].owner == node && MayOpen(agent);
    if (!IsToldAlive(node) && (given_away || dropped) && opens) {
      Blame("an agent that still opens flows was taken for dead");
    }
  }
}

// Whoever is no longer named must hold nothing, and know that it mustn't open anything.
void PlannerFleet::CheckDropped(std::size_t index, const Bucket& before, const Bucket& after) {
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    const base::NodeId node = NodeOf(agent);
    const bool dropped = Names(before, node) && !Names(after, node);
    if (agent == kLiar || !dropped || !IsToldAlive(node)) {
      continue;
    }
    if (agents_[agent].flows[index] > 0) {
      Blame("an agent with flows was dropped from a bucket");
    }
    if (agents_[agent].entries[index].owner == node) {
      Blame("an agent that still opens flows was dropped from a bucket");
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
  // What was saved up in one minute and what comes in during the next.
  if (count > settings_.max_moves_per_step || in_a_minute > 2 * settings_.max_moves_per_minute) {
    Blame("more buckets moved than the bounds allow");
  }
}

void PlannerFleet::ComeToRest() {
  constexpr int kSteps = 240;
  constexpr std::uint32_t kStepMilliseconds = 1000;
  reports_.clear();
  answers_.clear();
  for (int step = 0; step < kSteps; ++step) {
    for (std::uint32_t agent = 0; agent < kAgents; ++agent) {
      GiveTable(agent, 0);
      SendReport(agent, agent);
      DeliverReport(0);
      DeliverAnswer(0);
    }
    Step(kStepMilliseconds);
  }
}

std::string PlannerFleet::FaultAtRest() const {
  const BucketTable& table = planner_->Table();
  for (std::size_t index = 0; index < kBuckets; ++index) {
    for (std::size_t agent = 0; agent < kAgents; ++agent) {
      const Bucket& bucket = table.buckets[index];
      const base::NodeId node = NodeOf(agent);
      const bool has_room = bucket.previous_owners.size() < routing::kMaxPreviousOwners;
      const bool holds = agents_[agent].flows[index] > 0 && IsToldAlive(node);
      if (AnybodyMayOwn() && holds && !Names(bucket, node) && has_room) {
        return "an agent with flows isn't named at rest";
      }
    }
  }
  constexpr auto kQuiet = std::chrono::seconds(60);
  if (!moves_.empty() && moves_.back().at > now_ - kQuiet && moves_.back().count > 0) {
    return "buckets still move although nothing changes";
  }
  return {};
}

}  // namespace gaugevalve::proofs
