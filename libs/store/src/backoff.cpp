#include "gaugevalve/store/backoff.h"

#include <algorithm>

namespace gaugevalve::store {

BackoffSettings SpreadBackoff(const BackoffSettings& settings, double requests_per_second) {
  const std::chrono::duration<double> per_request(1 / requests_per_second);
  const auto least = std::chrono::duration_cast<base::Duration>(per_request);
  return {std::max(settings.base, least), std::max(settings.cap, least)};
}

base::Duration Backoff::Next(base::RandomSource& random) {
  const base::Duration delay = random.NextJitter(bound_);
  bound_ = std::min(settings_.cap, bound_ * 2);
  return delay;
}

}  // namespace gaugevalve::store
