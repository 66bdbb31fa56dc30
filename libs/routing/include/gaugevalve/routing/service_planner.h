// The planner of one service: decides which agent owns which bucket.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/routing/agent_status.h"
#include "gaugevalve/routing/assignment_policy.h"
#include "gaugevalve/routing/bucket_table.h"
#include "gaugevalve/routing/dead_agent_hold.h"
#include "gaugevalve/routing/move_budget.h"
#include "gaugevalve/routing/planner_settings.h"
#include "gaugevalve/routing/report_ledger.h"
#include "gaugevalve/routing/share_policy.h"

namespace gaugevalve::routing {

// The rules a planner goes by. Tests and the emulator leave out or replace single ones.
struct PlannerPolicies {
  std::vector<std::unique_ptr<SharePolicy>> shares;  // applied in this order
  std::unique_ptr<AssignmentPolicy> assignment;
};

// Returns the rules for these settings: cold start, outlier ejection, zones, steering, and
// assignment with minimal movement.
PlannerPolicies MakePlannerPolicies(const PlannerSettings& settings);

// The rules that keep flows in place. All are always on in the product; proofs switch one off to
// show that they would notice.
struct PlannerMechanisms {
  bool keep_previous_owner = true;       // in the chain, when a bucket moves
  bool current_reports_only = true;      // shorten a chain
  bool restore_holders = true;           // put agents that report flows back into the chain
  bool start_over_on_take_over = true;   // new versions and full chains for every bucket
  bool hold_buckets_of_the_dead = true;  // until an agent cut off from control opens nothing
};

// Counts since the planner was made, for metrics.
struct PlannerCounters {
  std::uint64_t deltas = 0;
  std::uint64_t forced_moves = 0;    // away from dead or leaving owners
  std::uint64_t optional_moves = 0;  // steering, ramps, weights, zones
  std::uint64_t chain_updates = 0;   // buckets whose chain changed without a move
  std::uint64_t blocked_moves = 0;   // forced moves put off because the chain was full
  std::uint64_t reports_refused = 0;
};

// Decision core `(event, now) -> optional table delta` of one service. It holds the service's table
// and is its only writer while its (epoch, generation) is the newest; the caller sees to that.
//
// What it keeps to:
// - Every bucket is owned by a live agent while there is one; with none alive the last table stays.
// - A previous owner stays in a bucket's chain until a report of it that names the bucket's present
//   version, or a later one, shows no flow there, or it is dead. The chain has no duplicates and at
//   most kMaxPreviousOwners members; a bucket with a full chain only goes back to one of them.
// - An alive agent that reports flows in a bucket that doesn't name it is put (back) in the chain:
//   so an agent wrongly taken for dead gets its flows back.
// - After a take-over nothing is decided until every live agent has reported, or a time limit. The
//   former planner may have published more than the table taken over, so anyone may own anything:
//   every bucket then gets a new version, and its chain is filled with the other agents. They leave
//   it with their next report of no flow. Reports from before shorten no chain. In a service of
//   more than kMaxPreviousOwners + 1 agents those with the most flows in the bucket are taken.
// - An agent that was declared dead, or is missing, may still run, cut off from control but not
// from
//   balancers. Its buckets stay as they are, and it stays in chains, until PlannerSettings'
//   `dead_agent_hold` after the last answer to it. There is no wait after its farewell, or when
//   another life of it is there. Whoever takes over must be told of the agents that died during
//   that time before: the table it takes over needn't list them.
// - Moves that aren't forced by a dead or leaving owner are bounded per step and per minute.
//
// Memory: one table, one report for each agent. Not thread-safe; time mustn't go backwards.
class ServicePlanner {
 public:
  // `epoch` and `generation` stamp every delta, see TableVersion.
  ServicePlanner(base::ServiceId service, std::uint64_t epoch, std::uint32_t generation,
                 const PlannerSettings& settings);

  // The same with other rules than MakePlannerPolicies(settings).
  ServicePlanner(base::ServiceId service, std::uint64_t epoch, std::uint32_t generation,
                 PlannerSettings settings, PlannerPolicies policies);

  // For proofs: must be called before anything else.
  void SetMechanisms(const PlannerMechanisms& mechanisms) { mechanisms_ = mechanisms; }

  // Goes on from a former planner's table instead of from none. Call before the first SetAgents().
  // Throws std::invalid_argument when the table is another service's, has no buckets, or isn't
  // older than (epoch, generation, 1).
  void TakeOver(BucketTable table);

  // Replaces the list of the service's agents. One that is missing counts as declared dead. When
  // two entries name one node the larger incarnation counts.
  void SetAgents(std::vector<AgentStatus> agents, base::TimePoint now);

  // Takes an agent's report.
  ReportOutcome HandleReport(const AgentReport& report, base::TimePoint now);

  // Tells whether a report with this outcome may be answered. The answer lets the agent open flows
  // for a while, so no agent that was declared dead gets one, nor any by a superseded planner.
  static bool MayAnswer(ReportOutcome outcome);

  // Notes that a report of this life of an agent is answered now. Without it an agent that is
  // declared dead is taken for one that was answered just before.
  void NoteAnswered(base::NodeId node, base::Incarnation incarnation, base::TimePoint now);

  // Notes that this life of an agent said farewell, before SetAgents() leaves it out.
  void NoteGracefulLeave(base::NodeId node, base::Incarnation incarnation);

  // Decides what changes at `now`. Call it after events and at least once a step interval. Returns
  // the delta to spread; table() already has it applied.
  std::optional<TableDelta> Step(base::TimePoint now);

  // The present table; valid until the next TakeOver() or Step().
  const BucketTable& Table() const { return table_; }

  // Returns the version from which on every table of this planner's lists this life of the agent,
  // or the present one when it isn't listed. An agent that has this table or a later one needs no
  // newer one before it may open flows: a bucket that was moved since keeps it in its chain until
  // the agent itself reports that it has the table that says so.
  TableVersion ListedSince(base::NodeId node, base::Incarnation incarnation) const;

  // Returns when the buckets of a dead agent are next free to be given away; nothing when none
  // wait.
  std::optional<base::TimePoint> NextRelease() const { return dead_agents_.NextRelease(); }

  // Returns the newest report of an agent, or null; its flows are whole. Valid until the next
  // change.
  const AgentReport* NewestReport(base::NodeId node) const { return ledger_.Find(node); }

  const PlannerCounters& Counters() const { return counters_; }

 private:
  // Since when this planner knows a life of an agent.
  struct Life {
    base::Incarnation incarnation;
    base::TimePoint first_seen;
  };

  // Since which table this planner lists a life of an agent without a break.
  struct Listing {
    base::Incarnation incarnation;
    TableVersion since;
  };

  void NoteListings(const BucketTable& next, bool starts_over);
  const AgentStatus* FindStatus(base::NodeId node) const;
  bool IsDeclaredAlive(base::NodeId node) const;
  bool MayHoldFlows(base::NodeId node) const;
  void NoteLife(const AgentStatus& status, base::TimePoint now);
  ReportOutcome Check(const AgentReport& report) const;
  std::vector<AssignmentCandidate> MakeCandidates(base::TimePoint now);
  std::vector<base::BucketIndex> FreeBuckets(const BucketTable& table) const;
  std::vector<AssignmentBucket> MakeAssignmentBuckets(
      const BucketTable& table, const std::vector<base::BucketIndex>& indices) const;
  Assignment Assign(const std::vector<AssignmentCandidate>& candidates, const BucketTable& table,
                    std::size_t allowance) const;
  bool HoldsNothing(base::NodeId node, std::size_t index, const Bucket& bucket) const;
  std::vector<AgentEntry> ListedAgents() const;
  void DropDeadFromChains(BucketTable& next) const;
  void UpdateChains(BucketTable& next);
  bool UpdateChain(std::size_t index, Bucket& bucket) const;
  bool IsSettling(base::TimePoint now);
  bool HaveAllReported() const;
  void FillChains(BucketTable& next) const;
  void ApplyMoves(const std::vector<BucketMove>& moves, BucketTable& next) const;
  std::optional<TableDelta> Publish(BucketTable next, bool stamp_all);

  PlannerSettings settings_;
  PlannerPolicies policies_;
  PlannerMechanisms mechanisms_;
  std::uint64_t epoch_;
  std::uint32_t generation_;
  std::uint32_t sequence_ = 0;
  BucketTable table_;
  std::vector<AgentStatus> agents_;  // sorted by node
  std::map<base::NodeId, Listing> listings_;
  std::map<base::NodeId, Life> lives_;
  ReportLedger ledger_;
  DeadAgentHold dead_agents_;
  MoveBudget budget_;
  bool took_over_ = false;                     // and hasn't decided anything since
  std::optional<base::TimePoint> settled_at_;  // the latest time to wait for reports until
  bool urgent_ = true;                         // the agents changed since the last step
  base::TimePoint next_step_{};
  PlannerCounters counters_;
};

}  // namespace gaugevalve::routing
