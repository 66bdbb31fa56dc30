#include "gaugevalve/requests/retry_budget.h"

#include <algorithm>

namespace gaugevalve::requests {

void RetryBudget::OnFirstAttempt() { balance_ = std::min(balance_ + share_, burst_); }

bool RetryBudget::TakeRetry() {
  if (balance_ < 1.0) {
    return false;
  }
  balance_ -= 1.0;
  return true;
}

}  // namespace gaugevalve::requests
