// Store of the newest report of each agent, with smoothed measurements.
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

// Result of handling a report.
enum class ReportOutcome : std::uint8_t {
  kAccepted = 0,
  kWrongService = 1,
  kUnknownAgent = 2,      // not among the service's agents
  kOtherIncarnation = 3,  // isn't the incarnation that membership knows
  kStale = 4,             // older than a report that was accepted from the same incarnation
  kFutureTable = 5,  // names a table newer than the planner's: another planner has superseded it
  kWrongBucketCount = 6,  // has flow counts, but not one for each bucket
  kNeedsFullReport = 7,   // is relative to a report that isn't stored; a full report is needed
};

// Stores the newest report of each known agent; bounded by the number of agents of the service.
// Reports hold the agents' own counts only, never figures that endpoints report about themselves.
// Not thread-safe.
class ReportStore {
 public:
  // `smoothing_time`: time constant of the smoothing. `report_timeout`: age at which a report has
  // no weight any more. Both must be above zero.
  ReportStore(base::Duration smoothing_time, base::Duration report_timeout);

  // Stores the report. The caller has checked its service, incarnation and sizes. Returns
  // kAccepted, kStale or kNeedsFullReport.
  ReportOutcome Accept(const AgentReport& report, base::TimePoint now);

  // Removes all agents for which `keep(node, incarnation)` is false.
  template <class Predicate>
  void Retain(const Predicate& keep) {
    std::erase_if(records_, [&](const auto& entry) {
      return !keep(entry.first, entry.second.report.incarnation);
    });
  }

  // Returns the newest report of this agent, or null. Valid until the next change.
  const AgentReport* Find(base::NodeId node) const;

  // Returns the open flows that the agent reported in the bucket; nothing if it reported none of
  // its counts.
  std::optional<std::uint32_t> FlowsInBucket(base::NodeId node, std::size_t bucket) const;

  // Returns the agent as share policies see it at `now`.
  AgentView View(const AgentStatus& status, base::TimePoint first_seen, base::TimePoint now) const;

 private:
  struct Record {
    AgentReport report;
    base::TimePoint received_at{};
    double slot_utilisation = 0.0;  // smoothed
    double failure_rate = 0.0;      // smoothed, failures a second
  };

  // Returns the flow counts of all buckets as of the report; nothing if the report that it is
  // relative to isn't stored.
  std::optional<std::vector<std::uint32_t>> FullFlowCounts(const AgentReport& report) const;
  double ReportWeight(const Record& record, base::TimePoint now) const;

  base::Duration smoothing_time_;
  base::Duration report_timeout_;
  std::map<base::NodeId, Record> records_;
};

}  // namespace gaugevalve::routing
