// Keeps retries a small part of the traffic, so that a failing store isn't buried under them.
#pragma once

#include "gaugevalve/base/time.h"

namespace gaugevalve::store {

// What a RetryBudget allows.
struct RetryBudgetSettings {
  double retries_per_request = 0.2;  // each first attempt earns this part of a retry
  double retries_per_second = 0.2;   // earned by time alone, so a quiet client may retry too
  double limit = 10;                 // what can be saved up, in retries
};

// A balance of retries, earned by first attempts and by time. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings)
      : settings_(settings), balance_(settings.limit) {}

  // Counts a first attempt.
  void OnFirstAttempt(base::TimePoint now);

  // Takes a retry if the balance allows it.
  bool TryRetry(base::TimePoint now);

 private:
  void Earn(double retries);
  void EarnByTime(base::TimePoint now);

  RetryBudgetSettings settings_;
  double balance_;
  base::TimePoint earned_at_{};
  bool started_ = false;
};

}  // namespace gaugevalve::store
