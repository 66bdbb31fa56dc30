#include "gaugevalve/control/agent_reporter.h"

#include <algorithm>
#include <cmath>

namespace gaugevalve::control {

std::optional<NumberedReport> AgentReporter::Tick(base::TimePoint now) {
  if (!latest_.has_value() || now < NextDeadline()) {
    return std::nullopt;
  }
  reported_ = latest_;
  reported_at_ = now;
  full_report_requested_ = false;
  return MakeReport(now);
}

NumberedReport AgentReporter::MakeReport(base::TimePoint now) {
  const std::uint64_t sequence = next_sequence_++;
  sent_[sequence % sent_.size()] = {sequence, now, std::nullopt};
  NumberedReport numbered{sequence, *reported_};
  numbered.report.sequence = sequence;
  flow_count_encoder_.EncodeChanges(numbered.report);
  return numbered;
}

void AgentReporter::SetPlanner(base::NodeId planner) {
  if (planner != planner_) {
    planner_ = planner;
    flow_count_encoder_.Reset();
    // A new planner can't confirm a table before it knows the agents.
    full_report_requested_ = true;
  }
}

base::TimePoint AgentReporter::NextDeadline() const {
  if (!latest_.has_value()) {
    return base::TimePoint::max();
  }
  if (!reported_.has_value()) {
    return reported_at_;
  }
  return reported_at_ + (HasChangedSignificantly() ? options_.fast_interval : options_.interval);
}

bool AgentReporter::HasChangedSignificantly() const {
  const bool state_changed = latest_->state != reported_->state ||
                             latest_->table_version != reported_->table_version ||
                             latest_->incarnation != reported_->incarnation;
  const double before = std::max(1.0, static_cast<double>(reported_->open_flows));
  const double change = std::abs(static_cast<double>(latest_->open_flows) - before) / before;
  return state_changed || full_report_requested_ || change > options_.significant_change_share;
}

void AgentReporter::HandleAnswer(const ReportAnswer& answer,
                                 const routing::TableVersion& own_table) {
  flow_count_encoder_.HandleAnswer(answer.sequence, answer.flows);
  full_report_requested_ = answer.flows == routing::FlowCountsOutcome::kNeedsFullReport;
  SentReport& sent = sent_[answer.sequence % sent_.size()];
  if (sent.sequence != answer.sequence) {
    return;
  }
  // A report that was duplicated on the way is answered twice. Both answers confirm the same time,
  // and the older table version is sufficient.
  sent.answered = std::min(sent.answered.value_or(answer.table_version), answer.table_version);
  OnTableChanged(own_table);
}

void AgentReporter::OnTableChanged(const routing::TableVersion& own_table) {
  for (const SentReport& sent : sent_) {
    if (sent.answered.has_value() && *sent.answered <= own_table) {
      confirmed_at_ = std::max(confirmed_at_, sent.sent_at);
    }
  }
}

}  // namespace gaugevalve::control
