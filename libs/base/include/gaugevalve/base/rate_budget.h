// A bound on how often something is done.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "gaugevalve/base/time.h"

namespace gaugevalve::base {

// So many units in each period, which begins with the first use after the one before has ended. Not
// thread-safe.
class RateBudget {
 public:
  RateBudget(std::size_t units, Duration period) : units_(units), period_(period) {}

  // Takes `count` units; returns false where they aren't left. More than a whole period's are taken
  // where nothing was in this period: what costs so much may be done once in it.
  bool Take(TimePoint now, std::size_t count = 1) {
    if (!begun_at_ || now - *begun_at_ >= period_) {
      begun_at_ = now;
      left_ = units_;
    }
    if (count > left_ && left_ < units_) {
      return false;
    }
    left_ -= std::min(count, left_);
    return true;
  }

 private:
  std::size_t units_;
  Duration period_;
  std::optional<TimePoint> begun_at_;
  std::size_t left_ = 0;
};

}  // namespace gaugevalve::base
