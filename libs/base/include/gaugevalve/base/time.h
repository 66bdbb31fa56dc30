// The time types of the decision cores: a monotonic microsecond time line with no fixed origin.
#pragma once

#include <chrono>
#include <cstdint>

namespace gaugevalve::base {

// Tag clock of the monotonic time line. It has no now(): time is always passed in, see Clock.
struct MonotonicTimeLine {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<MonotonicTimeLine>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

using Duration = std::chrono::microseconds;
using TimePoint = MonotonicTimeLine::time_point;

}  // namespace gaugevalve::base
