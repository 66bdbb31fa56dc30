// The newest report of each agent, checked and smoothed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/routing/agent_status.h"
#include "gaugevalve/routing/agent_view.h"

namespace gaugevalve::routing {

// What became of a report.
enum class ReportOutcome : std::uint8_t {
  kAccepted = 0,
  kWrongService = 1,
  kUnknownAgent = 2,      // not among the service's agents
  kOtherIncarnation = 3,  // another life of the agent than membership knows
  kOlderThanKnown = 4,    // names an older table than an earlier report of the same life
  kFutureTable = 5,       // names a table newer than the planner's own: the planner is superseded
  kWrongBucketCount = 6,  // neither empty nor one count for each bucket, or a bucket isn't there
  kNeedsFullReport = 7,   // builds on a report that isn't known: a whole one is needed
};

// Keeps one report for each known agent: bounded by the service's agents. Reports are the agents'
// own counts; what an endpoint says of itself never gets here. Not thread-safe.
class ReportLedger {
 public:
  // `smoothing_time`: time constant of the smoothing; `report_timeout`: age at which a report has
  // no say any more. Both above zero.
  ReportLedger(base::Duration smoothing_time, base::Duration report_timeout);

  // Keeps the report of `status`'s agent. The caller has checked service, incarnation and sizes.
  // Returns kAccepted, kOlderThanKnown or kNeedsFullReport.
  ReportOutcome Take(const AgentReport& report, base::TimePoint now);

  // Forgets all agents for which `keep(node, incarnation)` is false.
  template <class Predicate>
  void Retain(const Predicate& keep) {
    std::erase_if(records_, [&](const auto& entry) {
      return !keep(entry.first, entry.second.report.incarnation);
    });
  }

  // Returns the newest report of this agent, or null. Valid until the next change.
  const AgentReport* Find(base::NodeId node) const;

  // Returns the open flows the agent reported in the bucket; nothing when it didn't say.
  std::optional<std::uint32_t> FlowsInBucket(base::NodeId node, std::size_t bucket) const;

  // Fills the measured fields of the agent's view at `now`.
  AgentView View(const AgentStatus& status, base::TimePoint first_seen, base::TimePoint now) const;

 private:
  struct Record {
    AgentReport report;
    base::TimePoint received_at{};
    double slot_utilisation = 0.0;  // smoothed
    double failure_rate = 0.0;      // smoothed, failures a second
  };

  // Returns the flows that the report tells of, whole; nothing when what it builds on isn't known.
  std::optional<std::vector<std::uint32_t>> WholeFlows(const AgentReport& report) const;
  double Trust(const Record& record, base::TimePoint now) const;

  base::Duration smoothing_time_;
  base::Duration report_timeout_;
  std::map<base::NodeId, Record> records_;
};

}  // namespace gaugevalve::routing
