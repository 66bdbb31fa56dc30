// Planner of one service: decides which agent owns which bucket.
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
#include "gaugevalve/routing/report_store.h"
#include "gaugevalve/routing/share_policy.h"

namespace gaugevalve::routing {

// Policies of a planner. Tests and the emulator omit or replace single ones.
struct PlannerPolicies {
  std::vector<std::unique_ptr<SharePolicy>> shares;  // applied in this order
  std::unique_ptr<AssignmentPolicy> assignment;
};

// Returns the policies for these settings: cold start, outlier ejection, zone preference, load
// steering, and assignment with minimal movement.
PlannerPolicies MakePlannerPolicies(const PlannerSettings& settings);

// Rules that protect established flows. All are on in production. Proofs disable single rules to
// show that they detect the resulting faults.
struct PlannerMechanisms {
  bool keep_previous_owner = true;      // put the old owner into the chain when a bucket moves
  bool current_reports_only = true;     // only reports of the current version shorten a chain
  bool restore_flow_holders = true;     // put agents that report flows back into the chain
  bool restamp_on_take_over = true;     // new version and full chain for every bucket
  bool hold_dead_agent_buckets = true;  // until an agent isolated from control can open no flows
};

// Counts since the planner was made, for metrics.
struct PlannerCounters {
  std::uint64_t deltas = 0;
  std::uint64_t forced_moves = 0;    // away from dead or leaving owners
  std::uint64_t optional_moves = 0;  // moves for steering, ramps, weights and zones
  std::uint64_t chain_updates = 0;   // buckets whose chain changed without a move
  std::uint64_t blocked_moves = 0;   // forced moves postponed because the chain was full
  std::uint64_t reports_refused = 0;
};

// Decision core `(event, now) -> optional table delta` of one service. It holds the service's table
// and is the only writer of it while its (epoch, generation) is the newest, which the caller
// ensures.
//
// Invariants:
// - Every bucket is owned by a live agent while there is one. Without live agents the last table
//   stays.
// - A previous owner stays in the chain of a bucket until it is dead, or until it reports no flow
//   in the bucket in a report that names the bucket's present version or a later one. A chain has
//   no duplicates and at most kMaxPreviousOwners members; a bucket with a full chain only moves
//   back to one of them.
// - A live agent that reports flows in a bucket that doesn't list it is put into the chain. An
//   agent that was wrongly declared dead thus gets its flows back.
// - After a take-over nothing is decided until every live agent has reported or a time limit has
//   passed. The former planner may have published newer tables than the one taken over, so any
//   agent may own any bucket. Every bucket therefore gets a new version, and its chain is filled
//   with the other agents, each of which leaves it with its next report of no flow. Reports from
//   before the take-over shorten no chain. In a service of more than kMaxPreviousOwners + 1 agents,
//   those with the most flows in the bucket are chosen.
// - An agent that was declared dead or is missing may still run, isolated from control but not from
//   balancers. It keeps its buckets and its places in chains until `dead_agent_hold` of
//   PlannerSettings after the last answer to it. There is no wait if it left the group itself or if
//   another incarnation of it is known. A planner that takes over must be told of the agents that
//   died during that time before, because the table that it takes over may not list them.
// - Moves that aren't forced by a dead or leaving owner are limited per step and per minute.
//
// Memory: one table, and one report for each agent. Not thread-safe; time mustn't go backwards.
class ServicePlanner {
 public:
  // `epoch` and `generation` are part of the version of every delta, see TableVersion.
  ServicePlanner(base::ServiceId service, std::uint64_t epoch, std::uint32_t generation,
                 const PlannerSettings& settings);

  // Constructs a planner with other policies than MakePlannerPolicies(settings).
  ServicePlanner(base::ServiceId service, std::uint64_t epoch, std::uint32_t generation,
                 PlannerSettings settings, PlannerPolicies policies);

  // For proofs. Must be called before any other method.
  void SetMechanisms(const PlannerMechanisms& mechanisms) { mechanisms_ = mechanisms; }

  // Continues from a former planner's table. Must be called before the first SetAgents(). Throws
  // std::invalid_argument if the table belongs to another service, has no buckets, or isn't older
  // than (epoch, generation, 1).
  void TakeOver(BucketTable table);

  // Replaces the list of the service's agents. A missing agent counts as declared dead. If two
  // entries have the same node, the larger incarnation counts.
  void SetAgents(std::vector<AgentStatus> agents, base::TimePoint now);

  ReportOutcome HandleReport(const AgentReport& report, base::TimePoint now);

  // Tells whether a report with this outcome may be answered. The answer lets the agent open flows
  // for a time. Therefore no agent that was declared dead gets one, and a superseded planner gives
  // none.
  static bool MayAnswer(ReportOutcome outcome);

  // Records that a report of this incarnation of an agent is answered now. Without a record, an
  // agent that is declared dead counts as answered just before.
  void NoteAnswered(base::NodeId node, base::Incarnation incarnation, base::TimePoint now);

  // Records that this incarnation of an agent left the group itself. Must be called before
  // SetAgents() omits it.
  void NoteGracefulLeave(base::NodeId node, base::Incarnation incarnation);

  // Decides what changes at `now`. Must be called after events and at least once per step interval.
  // Returns the delta to publish; Table() already contains it.
  std::optional<TableDelta> Step(base::TimePoint now);

  // Returns the current table; valid until the next TakeOver() or Step().
  const BucketTable& Table() const { return table_; }

  // Returns the version of the first table since which every table of this planner lists this
  // incarnation of the agent, or the current version if it isn't listed. An agent with this table
  // or a later one needs no newer table before it may open flows: a bucket that was moved since
  // keeps the agent in its chain until the agent itself reports that it has the table with the
  // move.
  TableVersion ListedSince(base::NodeId node, base::Incarnation incarnation) const;

  // Returns the time at which the next hold on the buckets of a dead agent ends; nothing if there
  // is none.
  std::optional<base::TimePoint> NextRelease() const { return dead_agents_.NextRelease(); }

  // Returns the newest report of an agent with its full flow counts, or null. Valid until the next
  // change.
  const AgentReport* NewestReport(base::NodeId node) const { return reports_.Find(node); }

  const PlannerCounters& Counters() const { return counters_; }

 private:
  // Time since which this planner knows an incarnation of an agent.
  struct KnownIncarnation {
    base::Incarnation incarnation;
    base::TimePoint first_seen;
  };

  // Version since which every table of this planner lists an incarnation of an agent.
  struct Listing {
    base::Incarnation incarnation;
    TableVersion since;
  };

  void UpdateListings(const BucketTable& next, bool restamps_all);
  const AgentStatus* FindStatus(base::NodeId node) const;
  bool IsDeclaredAlive(base::NodeId node) const;
  bool MayHoldFlows(base::NodeId node) const;
  void RecordIncarnation(const AgentStatus& status, base::TimePoint now);
  ReportOutcome Check(const AgentReport& report) const;
  std::vector<AssignmentCandidate> MakeCandidates(base::TimePoint now);
  std::vector<base::BucketIndex> FreeBuckets(const BucketTable& table) const;
  std::vector<AssignmentBucket> MakeAssignmentBuckets(
      const BucketTable& table, const std::vector<base::BucketIndex>& indices) const;
  Assignment Assign(const std::vector<AssignmentCandidate>& candidates, const BucketTable& table,
                    std::size_t allowance) const;
  bool ReportsNoFlows(base::NodeId node, std::size_t index, const Bucket& bucket) const;
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
  std::map<base::NodeId, KnownIncarnation> known_incarnations_;
  ReportStore reports_;
  DeadAgentHold dead_agents_;
  MoveBudget budget_;
  bool took_over_ = false;                     // and hasn't changed the table since
  std::optional<base::TimePoint> settled_at_;  // end of the wait for reports after a take-over
  bool urgent_ = true;                         // the agents changed since the last step
  base::TimePoint next_step_{};
  PlannerCounters counters_;
};

}  // namespace gaugevalve::routing
