// An agent's reports to its planner: when they go out, and what the answers prove.
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
  base::Duration fast_interval = std::chrono::milliseconds(200);  // when much has changed
  // Change of the open flows, as a share of those last reported, that counts as much.
  double much_changed_share = 0.2;
};

// Decision core. Not thread-safe.
class AgentReporter {
 public:
  explicit AgentReporter(const AgentReporterOptions& options) : options_(options) {}

  // Takes the newest measures; the reporter sends the latest only.
  void Update(const routing::AgentReport& report) { latest_ = report; }

  // Notes who takes the reports: another planner is told of all flows, at the next fast interval.
  void SetPlanner(base::NodeId planner);

  // Returns a report when one is due.
  std::optional<NumberedReport> Tick(base::TimePoint now);

  // Returns when Tick() is next due.
  base::TimePoint NextDeadline() const;

  // Takes the planner's answer. Once the agent's table is as new as the planner's was then, the
  // time at which the report was sent is proven fresh: at once, or by OnTableChanged() later.
  void HandleAnswer(const ReportAnswer& answer, const routing::TableVersion& own_table);

  // Notes which table the agent has now. An answer may overtake the table that it names, and while
  // the planner changes the table with each report there is always a newer one on its way.
  void OnTableChanged(const routing::TableVersion& own_table);

  // Returns the latest time at which the agent's table was the planner's newest.
  base::TimePoint ConfirmedAt() const { return confirmed_at_; }

 private:
  struct SentReport {
    std::uint64_t sequence = 0;
    base::TimePoint sent_at;
    std::optional<routing::TableVersion> answered;  // the planner's table when it answered
  };

  // Covers routing::kFreshnessLimit at the fast interval: older reports' answers prove nothing.
  static constexpr std::size_t kRememberedReports = 16;

  bool HasChangedMuch() const;
  NumberedReport MakeReport(base::TimePoint now);

  AgentReporterOptions options_;
  std::optional<routing::AgentReport> latest_;
  std::optional<routing::AgentReport> reported_;
  base::TimePoint reported_at_{};
  std::uint64_t next_sequence_ = 1;
  base::NodeId planner_;
  routing::FlowCountEncoder digest_;
  bool whole_is_wanted_ = false;                       // by the planner, at the next fast interval
  std::array<SentReport, kRememberedReports> sent_{};  // a ring
  base::TimePoint confirmed_at_{};
};

}  // namespace gaugevalve::control
