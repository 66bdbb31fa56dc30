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
  whole_is_wanted_ = false;
  return MakeReport(now);
}

NumberedReport AgentReporter::MakeReport(base::TimePoint now) {
  const std::uint64_t sequence = next_sequence_++;
  sent_[sequence % sent_.size()] = {sequence, now, std::nullopt};
  NumberedReport numbered{sequence, *reported_};
  numbered.report.sequence = sequence;
  digest_.EncodeChanges(numbered.report);
  return numbered;
}

void AgentReporter::SetPlanner(base::NodeId planner) {
  if (planner != planner_) {
    planner_ = planner;
    digest_.Reset();
    whole_is_wanted_ = true;  // it can't answer for a table before it has heard of the agents
  }
}

base::TimePoint AgentReporter::NextDeadline() const {
  if (!latest_.has_value()) {
    return base::TimePoint::max();
  }
  if (!reported_.has_value()) {
    return reported_at_;
  }
  return reported_at_ + (HasChangedMuch() ? options_.fast_interval : options_.interval);
}

bool AgentReporter::HasChangedMuch() const {
  const bool other_state = latest_->state != reported_->state ||
                           latest_->table_version != reported_->table_version ||
                           latest_->incarnation != reported_->incarnation;
  const double before = std::max(1.0, static_cast<double>(reported_->open_flows));
  const double change = std::abs(static_cast<double>(latest_->open_flows) - before) / before;
  return other_state || whole_is_wanted_ || change > options_.much_changed_share;
}

void AgentReporter::HandleAnswer(const ReportAnswer& answer,
                                 const routing::TableVersion& own_table) {
  digest_.HandleAnswer(answer.sequence, answer.flows);
  whole_is_wanted_ = answer.flows == routing::FlowCountsOutcome::kNeedsFullReport;
  SentReport& sent = sent_[answer.sequence % sent_.size()];
  if (sent.sequence != answer.sequence) {
    return;
  }
  // A doubled report is answered twice; each answer proves the same time.
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
