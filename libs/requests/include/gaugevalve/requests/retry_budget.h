// Bounds retries to a small share of the load, so that a failing endpoint draws no storm of them.
#pragma once

#include <cstdint>

namespace gaugevalve::requests {

// Counts first tries and retries of one agent. Each first try earns a fraction of a retry; a retry
// spends a whole one. What is earned is capped, so a quiet time saves up no burst. Since every
// agent keeps to its share, the deployment does too. Not thread-safe.
class RetryBudget {
 public:
  // `share` is retries allowed per first try, in [0, 1]; `burst` the most that can be saved up.
  RetryBudget(double share, double burst) : share_(share), burst_(burst) {}

  // A first try was made.
  void OnFirstAttempt();

  // Returns true and spends one retry when one is left; false when the caller must not retry.
  bool TakeRetry();

 private:
  double share_;
  double burst_;
  double balance_ = 0;
};

}  // namespace gaugevalve::requests
