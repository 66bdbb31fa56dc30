#include "history_completeness.h"

#include <algorithm>

namespace gaugevalve::requests {

void HistoryCompleteness::OnFirstTable(base::TimePoint now) {
  complete_since_ = now + freshness_;
  last_loss_at_ = now;
}

void HistoryCompleteness::NoteLoss(base::TimePoint last_confirmed_at, base::TimePoint now) {
  // The agent may have been lost immediately after the table was last confirmed.
  const bool second = last_loss_at_ && last_confirmed_at - *last_loss_at_ < restore_time_;
  if (second) {
    complete_since_ = std::max(complete_since_, now + freshness_);
    NoteReported(complete_since_);
  }
  last_loss_at_ = now;
}

void HistoryCompleteness::NoteDroppedRecord(base::TimePoint now) {
  complete_since_ = std::max(complete_since_, now);
}

void HistoryCompleteness::NoteReported(base::TimePoint complete_since) {
  newest_reported_ = std::max(newest_reported_.value_or(complete_since), complete_since);
}

void HistoryCompleteness::AdoptReported() {
  if (!knows_service_history_) {
    complete_since_ = newest_reported_.value_or(complete_since_);
    knows_service_history_ = true;
  } else if (newest_reported_) {
    complete_since_ = std::max(complete_since_, *newest_reported_);
  }
}

std::optional<base::TimePoint> HistoryCompleteness::CompleteSince() const {
  return knows_service_history_ ? std::optional(complete_since_) : std::nullopt;
}

}  // namespace gaugevalve::requests
