#include "latency_samples.h"

#include <algorithm>
#include <cmath>

namespace gaugevalve::load {

void LatencySamples::Add(base::Duration latency) {
  ++count_;
  largest_ = std::max(largest_, latency);
  if (samples_.size() < kCapacity) {
    samples_.push_back(latency);
    return;
  }
  const std::uint64_t slot = random_.NextBelow(count_);
  if (slot < kCapacity) {
    samples_[slot] = latency;
  }
}

base::Duration LatencySamples::Quantile(double quantile) const {
  if (samples_.empty()) {
    return base::Duration::zero();
  }
  std::vector<base::Duration> sorted = samples_;
  const auto rank = static_cast<std::size_t>(std::ceil(quantile * sorted.size()));
  const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(rank == 0 ? 0 : rank - 1);
  std::nth_element(sorted.begin(), place, sorted.end());
  return *place;
}

}  // namespace gaugevalve::load
