#include "gaugevalve/base/clock.h"

#include <chrono>

namespace gaugevalve::base {

TimePoint SystemClock::Now() const {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(since_start));
}

}  // namespace gaugevalve::base
