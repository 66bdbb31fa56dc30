// The planners that run on this balancer: one for each service it is the elected planner of.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/control/control_message.h"
#include "gaugevalve/control/member_directory.h"
#include "gaugevalve/control/planner_election.h"
#include "gaugevalve/control/roster.h"
#include "gaugevalve/membership/member.h"
#include "gaugevalve/routing/bucket_table.h"
#include "gaugevalve/routing/service_planner.h"
#include "gaugevalve/settings/effective_settings.h"

namespace gaugevalve::control {

// How planners are run.
struct PlannerHostOptions {
  // Reports and the newest table are collected for this long before a planner's first delta.
  base::Duration collect_time = std::chrono::milliseconds(400);
  // Table changes a second that the whole deployment may make for steering; each service gets its
  // share. Changes forced by agents that died, left or joined aren't held back.
  double table_changes_per_second = 2;
  // Reports kept for a service whose planner isn't running yet.
  std::size_t max_early_reports = 256;
};

// An answer to a report that came before the planner ran.
struct LateAnswer {
  base::NodeId agent;
  base::Incarnation incarnation;
  ReportAnswer answer;
};

// What the planners look at. All of it belongs to the caller.
struct PlanningContext {
  const Roster& roster;
  const MemberDirectory& directory;
  const settings::EffectiveSettings& settings;
  // Returns the newest table known of a service, or nothing.
  std::function<std::optional<routing::BucketTable>(base::ServiceId)> newest_table;
};

// Returns what an answer says of the flows in a report with this outcome.
routing::FlowCountsOutcome FlowCountsOutcomeOf(routing::ReportOutcome outcome);

// Decision core. Planners start and stop by themselves as the roster, the members and the settings
// change; bounded by the number of services. Not thread-safe.
class PlannerHost {
 public:
  PlannerHost(base::NodeId self, const PlannerHostOptions& options)
      : self_(self), options_(options) {}

  // Elects planners again. Call when the roster, the settings or the balancers changed.
  void Reelect(const PlanningContext& context, base::TimePoint now);

  // Tells the planner of a service that its agents changed.
  void UpdateAgents(base::ServiceId service, const PlanningContext& context, base::TimePoint now);

  // Tells the planner of a service that this life of an agent said farewell: its buckets needn't
  // wait. Call before the UpdateAgents() that leaves it out.
  void NoteGracefulLeave(base::ServiceId service, base::NodeId agent, base::Incarnation life);

  // Notes that an agent was declared dead, for planners that start soon after. Call before the
  // UpdateAgents() that leaves it out.
  void NoteFailure(const membership::Member& agent, base::TimePoint now);

  // Tells the planner of a service that a newer table than its own has come: another planner's.
  // This one takes over again if it is still elected.
  void OnForeignTable(base::ServiceId service, const routing::TableVersion& version,
                      base::TimePoint now);

  // Takes a report; returns the answer if this node plans the service and the report is one of an
  // agent that it knows to be alive. An answer lets the agent open flows for a while.
  std::optional<ReportAnswer> HandleReport(const NumberedReport& report, base::TimePoint now);

  // Runs the planners that are due; returns the tables that changed.
  std::vector<routing::BucketTable> Tick(const PlanningContext& context, base::TimePoint now);

  // Returns, once, the answers to reports that came while the planners started by Tick() collected.
  // Without them agents would wait for an answer until their next report.
  std::vector<LateAnswer> TakeLateAnswers() { return std::exchange(late_answers_, {}); }

  // Returns when Tick() is next due.
  base::TimePoint NextDeadline() const;

  // Returns true when this node is the elected planner of the service.
  bool Plans(base::ServiceId service) const { return hosted_.contains(service); }
  std::size_t HostedCount() const { return hosted_.size(); }

 private:
  struct Hosted {
    std::uint32_t tag = 0;
    std::uint64_t roster_epoch = 0;                    // of the roster that elected it
    base::TimePoint next_step;                         // end of collecting, then the next Step()
    std::unique_ptr<routing::ServicePlanner> planner;  // null while collecting
    std::map<base::NodeId, routing::AgentReport> early_reports;
  };

  // An agent that was declared dead lately: its table may not be too old yet to open flows.
  struct Failure {
    membership::Member agent;
    base::TimePoint at;
  };

  void StartCollecting(base::ServiceId service, const ElectedPlanner& elected, std::uint64_t epoch,
                       base::TimePoint now);
  void StartPlanning(const settings::ServiceSettings& service, Hosted& hosted,
                     const PlanningContext& context, base::TimePoint now);
  // Gives the report to the running planner; returns the answer where there may be one.
  static std::optional<ReportAnswer> TakeAndAnswer(routing::ServicePlanner& planner,
                                                   const routing::AgentReport& report,
                                                   base::TimePoint now);
  // Takes the reports that came while the planner collected; returns their answers.
  static std::vector<LateAnswer> TakeEarlyReports(Hosted& hosted, base::TimePoint now);
  base::Duration StepInterval(std::size_t service_count) const;
  void AppendFailures(const settings::ServiceSettings& service, const MemberDirectory& directory,
                      base::TimePoint now, std::vector<routing::AgentStatus>& statuses) const;

  base::NodeId self_;
  PlannerHostOptions options_;
  std::map<base::ServiceId, Hosted> hosted_;
  std::vector<LateAnswer> late_answers_;
  std::deque<Failure> failures_;  // of the last kDeadAgentHold, oldest first; at most one an agent
};

}  // namespace gaugevalve::control
