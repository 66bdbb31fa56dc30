#include "gaugevalve/store/retry_budget.h"

#include <algorithm>

namespace gaugevalve::store {

void RetryBudget::OnFirstAttempt(base::TimePoint now) {
  EarnByTime(now);
  Earn(settings_.retries_per_request);
}

bool RetryBudget::TryRetry(base::TimePoint now) {
  EarnByTime(now);
  if (balance_ < 1) {
    return false;
  }
  balance_ -= 1;
  return true;
}

void RetryBudget::Earn(double retries) { balance_ = std::min(settings_.limit, balance_ + retries); }

void RetryBudget::EarnByTime(base::TimePoint now) {
  if (started_ && now > earned_at_) {
    const std::chrono::duration<double> elapsed = now - earned_at_;
    Earn(elapsed.count() * settings_.retries_per_second);
  }
  earned_at_ = std::max(earned_at_, now);
  started_ = true;
}

}  // namespace gaugevalve::store
