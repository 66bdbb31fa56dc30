#include "hollow_store.h"

#include <algorithm>
#include <numeric>

namespace gaugevalve::proofs {

HollowAnswer HollowStore::Receive(base::TimePoint now) {
  const std::size_t second = SecondOf(now);
  arrivals_.resize(std::max(arrivals_.size(), second + 1));
  ++arrivals_[second];
  if (!reachable_) {
    return HollowAnswer::kUnreachable;
  }
  if (!bucket_.TryTake(now)) {
    ++rate_limited_;
    return HollowAnswer::kRateLimited;
  }
  return HollowAnswer::kOk;
}

std::uint64_t HollowStore::PeakPerSecond(base::TimePoint from, base::TimePoint to) const {
  const std::size_t end = std::min(SecondOf(to), arrivals_.size());
  std::uint64_t peak = 0;
  for (std::size_t second = SecondOf(from); second < end; ++second) {
    peak = std::max(peak, arrivals_[second]);
  }
  return peak;
}

std::uint64_t HollowStore::Total(base::TimePoint from, base::TimePoint to) const {
  const std::size_t end = std::min(SecondOf(to), arrivals_.size());
  const std::size_t begin = std::min(SecondOf(from), end);
  return std::accumulate(arrivals_.begin() + static_cast<std::ptrdiff_t>(begin),
                         arrivals_.begin() + static_cast<std::ptrdiff_t>(end), std::uint64_t{0});
}

std::size_t HollowStore::SecondOf(base::TimePoint time) {
  return static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count());
}

}  // namespace gaugevalve::proofs
