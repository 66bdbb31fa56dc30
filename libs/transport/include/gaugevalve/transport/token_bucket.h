// A byte budget: a rate with room for a burst.
#pragma once

#include <cstdint>

#include "gaugevalve/base/time.h"

namespace gaugevalve::transport {

// Grants bytes at a steady rate, and up to `burst` bytes at once after a pause. Starts full.
class TokenBucket {
 public:
  // `bytes_per_second` and `burst` must be above 0.
  TokenBucket(double bytes_per_second, double burst);

  // Takes `bytes` and returns true when the budget has them; otherwise takes nothing.
  bool TryTake(std::uint64_t bytes, base::TimePoint now);

  // Returns the whole bytes that could be taken now.
  std::uint64_t Available(base::TimePoint now);

 private:
  void Refill(base::TimePoint now);

  double bytes_per_second_;
  double burst_;
  double available_;
  base::TimePoint refilled_at_{};
};

}  // namespace gaugevalve::transport
