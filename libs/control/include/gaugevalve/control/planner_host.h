// Runs the planners of this balancer: one for each service that it is the elected planner of.
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

struct PlannerHostOptions {
  // Reports and the newest table are collected for this long before a planner's first delta.
  base::Duration collect_time = std::chrono::milliseconds(400);
  // Table changes a second that the whole deployment may make for steering, divided evenly between
  // the services. Changes forced by agents that died, left or joined aren't delayed.
  double table_changes_per_second = 2;
  // Maximum number of reports stored for a service whose planner isn't running yet.
  std::size_t max_early_reports = 256;
};

// Answer to a report that arrived before the planner ran.
struct DeferredAnswer {
  base::NodeId agent;
  base::Incarnation incarnation;
  ReportAnswer answer;
};

// Input of the planners. The caller owns all of it.
struct PlanningContext {
  const Roster& roster;
  const MemberDirectory& directory;
  const settings::EffectiveSettings& settings;
  // Returns the newest table known of a service, or nothing.
  std::function<std::optional<routing::BucketTable>(base::ServiceId)> newest_table;
};

// Returns the outcome of the flow counts that an answer reports for this outcome of the report.
routing::FlowCountsOutcome FlowCountsOutcomeOf(routing::ReportOutcome outcome);

// Decision core. It starts and stops planners as the roster, the members and the settings change;
// their number is bounded by that of the services. Not thread-safe.
class PlannerHost {
 public:
  PlannerHost(base::NodeId self, const PlannerHostOptions& options)
      : self_(self), options_(options) {}

  // Elects the planners again. Must be called when the roster, the settings or the balancers
  // changed.
  void Reelect(const PlanningContext& context, base::TimePoint now);

  // Tells the planner of a service that its agents changed.
  void UpdateAgents(base::ServiceId service, const PlanningContext& context, base::TimePoint now);

  // Tells the planner of a service that this incarnation of an agent left the group itself, so that
  // its buckets need no hold. Must be called before the UpdateAgents() that omits it.
  void NoteGracefulLeave(base::ServiceId service, base::NodeId agent,
                         base::Incarnation incarnation);

  // Records that an agent was declared dead, for planners that start soon after. Must be called
  // before the UpdateAgents() that omits it.
  void RecordFailure(const membership::Member& agent, base::TimePoint now);

  // Handles a table of a service from another node. If it is newer than that of the planner here,
  // another planner has published it, and this one takes over again if it is still elected.
  void OnForeignTable(base::ServiceId service, const routing::TableVersion& version,
                      base::TimePoint now);

  // Handles a report. Returns the answer if this node plans the service and the agent is known to
  // be live. An answer lets the agent open flows for a time.
  std::optional<ReportAnswer> HandleReport(const NumberedReport& report, base::TimePoint now);

  // Runs the planners that are due; returns the tables that changed.
  std::vector<routing::BucketTable> Tick(const PlanningContext& context, base::TimePoint now);

  // Returns and clears the answers to reports that arrived while the planners started by Tick()
  // collected reports. Without them agents would get no answer until their next report.
  std::vector<DeferredAnswer> TakeDeferredAnswers() { return std::exchange(deferred_answers_, {}); }

  // Returns when Tick() is next due.
  base::TimePoint NextDeadline() const;

  // Returns true when this node is the elected planner of the service.
  bool Plans(base::ServiceId service) const { return hosted_.contains(service); }
  std::size_t HostedCount() const { return hosted_.size(); }

 private:
  struct Hosted {
    std::uint32_t tag = 0;
    std::uint64_t roster_epoch = 0;  // of the roster that elected it
    base::TimePoint next_step;       // end of collecting reports, later the next Step()
    std::unique_ptr<routing::ServicePlanner> planner;  // null while collecting
    std::map<base::NodeId, routing::AgentReport> early_reports;
  };

  // An agent that was declared dead recently. Its table may still be fresh enough to open flows.
  struct Failure {
    membership::Member agent;
    base::TimePoint at;
  };

  void StartCollecting(base::ServiceId service, const ElectedPlanner& elected, std::uint64_t epoch,
                       base::TimePoint now);
  void StartPlanning(const settings::ServiceSettings& service, Hosted& hosted,
                     const PlanningContext& context, base::TimePoint now);
  // Passes the report to the running planner; returns the answer if one may be given.
  static std::optional<ReportAnswer> HandleAndAnswer(routing::ServicePlanner& planner,
                                                     const routing::AgentReport& report,
                                                     base::TimePoint now);
  // Handles the reports that arrived while the planner collected; returns their answers.
  static std::vector<DeferredAnswer> HandleEarlyReports(Hosted& hosted, base::TimePoint now);
  base::Duration StepInterval(std::size_t service_count) const;
  void AppendRecentlyFailed(const settings::ServiceSettings& service,
                            const MemberDirectory& directory, base::TimePoint now,
                            std::vector<routing::AgentStatus>& statuses) const;

  base::NodeId self_;
  PlannerHostOptions options_;
  std::map<base::ServiceId, Hosted> hosted_;
  std::vector<DeferredAnswer> deferred_answers_;
  // Of the last kDeadAgentHold, oldest first; at most one for each agent.
  std::deque<Failure> failures_;
};

}  // namespace gaugevalve::control
