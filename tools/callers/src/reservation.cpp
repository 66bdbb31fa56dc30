#include "reservation.h"

#include <algorithm>

namespace gaugevalve::callers {

std::size_t Reservation::Begin(base::TimePoint now) {
  attempts_.push_back({now});
  return attempts_.size() - 1;
}

void Reservation::End(std::size_t attempt, CallerOutcome outcome) {
  attempts_.at(attempt).has_ended = true;
  attempts_.at(attempt).outcome = outcome;
}

CallerOutcome Reservation::Verdict() const {
  const auto ended_as = [](CallerOutcome outcome) {
    return [outcome](const Attempt& attempt) {
      return attempt.has_ended && attempt.outcome == outcome;
    };
  };
  if (std::any_of(attempts_.begin(), attempts_.end(), ended_as(CallerOutcome::kAnswered))) {
    return CallerOutcome::kAnswered;
  }
  const bool all_refused =
      std::all_of(attempts_.begin(), attempts_.end(), ended_as(CallerOutcome::kNotRun));
  return all_refused ? CallerOutcome::kNotRun : CallerOutcome::kUnknown;
}

}  // namespace gaugevalve::callers
