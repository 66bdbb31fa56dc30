// Limits retries to a small share of the load, so that a failing endpoint does not cause a retry
// storm.
#pragma once

#include <cstdint>

namespace gaugevalve::requests {

// Counts first attempts and retries of one agent. Each first attempt adds a fraction of a retry to
// the budget; a retry spends one. The budget is capped, so that many first attempts cannot save up
// a large burst. Because every agent stays within its share, the whole deployment does too. Not
// thread-safe.
class RetryBudget {
 public:
  // `share` is the number of retries allowed per first attempt, in [0, 1]; `burst` is the maximum
  // budget.
  RetryBudget(double share, double burst) : share_(share), burst_(burst) {}

  // Adds one first attempt.
  void OnFirstAttempt();

  // Returns true and spends one retry if one is available; false if the caller must not retry.
  bool TakeRetry();

 private:
  double share_;
  double burst_;
  double balance_ = 0;
};

}  // namespace gaugevalve::requests
