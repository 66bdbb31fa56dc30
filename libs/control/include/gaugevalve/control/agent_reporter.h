// Schedules an agent's reports to its planner and derives from the answers how fresh the agent's
// table is.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "gaugevalve/base/time.h"
#include "gaugevalve/control/control_message.h"
#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/routing/flow_count_encoder.h"

namespace gaugevalve::control {

// How often an agent reports.
struct AgentReporterOptions {
  base::Duration interval = std::chrono::seconds(1);
  base::Duration fast_interval = std::chrono::milliseconds(200);  // after a significant change
  // Relative change of the open flows since the last report that counts as significant.
  double significant_change_share = 0.2;
};

// Decision core. Not thread-safe.
class AgentReporter {
 public:
  explicit AgentReporter(const AgentReporterOptions& options) : options_(options) {}

  // Sets the newest measurements. Only the latest ones are sent.
  void Update(const routing::AgentReport& report) { latest_ = report; }

  // Sets the node that reports go to. A new planner gets a full report at the next fast interval.
  void SetPlanner(base::NodeId planner);

  // Returns a report when one is due.
  std::optional<NumberedReport> Tick(base::TimePoint now);

  // Returns when Tick() is next due.
  base::TimePoint NextDeadline() const;

  // Handles the planner's answer. The table counts as confirmed at the time at which the report was
  // sent as soon as the agent's table is as new as the answer requires: at once, or later by
  // OnTableChanged().
  void HandleAnswer(const ReportAnswer& answer, const routing::TableVersion& own_table);

  // Sets the version of the agent's table. An answer may arrive before the table that it names, and
  // while the planner changes the table with each report, a newer table is always on its way.
  void OnTableChanged(const routing::TableVersion& own_table);

  // Returns the latest time for which the agent's table is known to have been current.
  base::TimePoint ConfirmedAt() const { return confirmed_at_; }

 private:
  struct SentReport {
    std::uint64_t sequence = 0;
    base::TimePoint sent_at;
    std::optional<routing::TableVersion> answered;  // table version that the answer requires
  };

  // Covers routing::kFreshnessLimit at the fast interval. Answers to older reports prove no fresh
  // table.
  static constexpr std::size_t kRememberedReportCount = 16;

  bool HasChangedSignificantly() const;
  NumberedReport MakeReport(base::TimePoint now);

  AgentReporterOptions options_;
  std::optional<routing::AgentReport> latest_;
  std::optional<routing::AgentReport> reported_;
  base::TimePoint reported_at_{};
  std::uint64_t next_sequence_ = 1;
  base::NodeId planner_;
  routing::FlowCountEncoder flow_count_encoder_;
  bool full_report_requested_ = false;  // send a full report at the next fast interval
  // Ring buffer, indexed by sequence number.
  std::array<SentReport, kRememberedReportCount> sent_{};
  base::TimePoint confirmed_at_{};
};

}  // namespace gaugevalve::control
