#include "gaugevalve/store/backoff.h"

#include <algorithm>

namespace gaugevalve::store {

base::Duration Backoff::Next(base::RandomSource& random) {
  const base::Duration delay = random.NextJitter(bound_);
  bound_ = std::min(settings_.cap, bound_ * 2);
  return delay;
}

}  // namespace gaugevalve::store
