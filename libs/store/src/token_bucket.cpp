#include "gaugevalve/store/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace gaugevalve::store {

bool TokenBucket::TryTake(base::TimePoint now) {
  Refill(now);
  if (TimeUntilOneToken() > base::Duration::zero()) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

base::TimePoint TokenBucket::Reserve(base::TimePoint now) {
  Refill(now);
  const base::TimePoint usable_at = now + TimeUntilOneToken();
  tokens_ -= 1;
  return usable_at;
}

base::TimePoint TokenBucket::AvailableAt(base::TimePoint now) {
  Refill(now);
  return now + TimeUntilOneToken();
}

void TokenBucket::Refill(base::TimePoint now) {
  if (started_ && now > refilled_at_) {
    const std::chrono::duration<double> elapsed = now - refilled_at_;
    tokens_ = std::min(burst_, tokens_ + elapsed.count() * per_second_);
  }
  if (!started_ || now > refilled_at_) {
    refilled_at_ = now;
  }
  started_ = true;
}

base::Duration TokenBucket::TimeUntilOneToken() const {
  constexpr double kMicrosecondsPerSecond = 1e6;
  constexpr double kRounding = 1e-6;  // sums of fractions may miss a whole token by this much
  const double missing = 1 - tokens_;
  if (missing <= kRounding) {
    return base::Duration::zero();
  }
  return base::Duration(
      static_cast<base::Duration::rep>(std::ceil(missing / per_second_ * kMicrosecondsPerSecond)));
}

}  // namespace gaugevalve::store
