#include "gaugevalve/routing/move_budget.h"

#include <algorithm>
#include <chrono>

namespace gaugevalve::routing {

std::size_t MoveBudget::Available(base::TimePoint now) {
  const std::chrono::duration<double, std::ratio<60>> minutes = now - refilled_at_;
  tokens_ = std::min<double>(per_minute_, tokens_ + minutes.count() * per_minute_);
  refilled_at_ = now;
  return static_cast<std::size_t>(std::min<double>(per_step_, std::max(0.0, tokens_)));
}

}  // namespace gaugevalve::routing
