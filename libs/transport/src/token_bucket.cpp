#include "gaugevalve/transport/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace gaugevalve::transport {

TokenBucket::TokenBucket(double bytes_per_second, double burst)
    : bytes_per_second_(bytes_per_second), burst_(burst), available_(burst) {}

bool TokenBucket::TryTake(std::uint64_t bytes, base::TimePoint now) {
  Refill(now);
  const auto wanted = static_cast<double>(bytes);
  if (wanted > available_) {
    return false;
  }
  available_ -= wanted;
  return true;
}

std::uint64_t TokenBucket::Available(base::TimePoint now) {
  Refill(now);
  return static_cast<std::uint64_t>(available_);
}

void TokenBucket::Refill(base::TimePoint now) {
  if (now <= refilled_at_) {
    return;
  }
  const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
  available_ = std::min(burst_, available_ + seconds * bytes_per_second_);
  refilled_at_ = now;
}

}  // namespace gaugevalve::transport
