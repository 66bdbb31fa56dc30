#include "memory_horizon.h"

#include <algorithm>

namespace gaugevalve::requests {

void MemoryHorizon::Begin(base::TimePoint now) {
  whole_since_ = now + freshness_;
  last_loss_at_ = now;
}

void MemoryHorizon::NoteLoss(base::TimePoint unchanged_until, base::TimePoint now) {
  // It may have been lost right after the table was last confirmed.
  const bool second = last_loss_at_ && unchanged_until - *last_loss_at_ < restore_time_;
  if (second) {
    whole_since_ = std::max(whole_since_, now + freshness_);
    Inherit(whole_since_);
  }
  last_loss_at_ = now;
}

void MemoryHorizon::NoteDroppedRecord(base::TimePoint now) {
  whole_since_ = std::max(whole_since_, now);
}

void MemoryHorizon::Inherit(base::TimePoint whole_since) {
  inherited_ = std::max(inherited_.value_or(whole_since), whole_since);
}

void MemoryHorizon::TakeOver() {
  if (!known_) {
    whole_since_ = inherited_.value_or(whole_since_);
    known_ = true;
  } else if (inherited_) {
    whole_since_ = std::max(whole_since_, *inherited_);
  }
}

std::optional<base::TimePoint> MemoryHorizon::WholeSince() const {
  return known_ ? std::optional(whole_since_) : std::nullopt;
}

}  // namespace gaugevalve::requests
