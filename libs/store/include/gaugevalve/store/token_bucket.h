// A rate limit: so many permits a second, with a bounded burst.
#pragma once

#include "gaugevalve/base/time.h"

namespace gaugevalve::store {

// Token bucket over injected time. Not thread-safe.
class TokenBucket {
 public:
  // Starts full. `per_second` and `burst` are above 0.
  TokenBucket(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  // Takes a token if there is one.
  bool TryTake(base::TimePoint now);

  // Takes a token, in advance if need be, and returns the time from which it may be used.
  base::TimePoint Reserve(base::TimePoint now);

  // Returns the earliest time, not before `now`, at which TryTake can succeed.
  base::TimePoint AvailableAt(base::TimePoint now);

 private:
  void Refill(base::TimePoint now);
  base::Duration TimeUntilOneToken() const;

  double per_second_;
  double burst_;
  double tokens_;  // negative after reservations in advance
  base::TimePoint refilled_at_{};
  bool started_ = false;
};

}  // namespace gaugevalve::store
