// Latencies of answered requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::load {

// Keeps a uniform sample of at most kCapacity latencies (reservoir sampling), and the largest.
class LatencySamples {
 public:
  static constexpr std::size_t kCapacity = 200'000;

  void Add(base::Duration latency);

  // Returns the latency that `quantile` (0 to 1) of the samples don't exceed; 0 without samples.
  base::Duration Quantile(double quantile) const;

  // Returns the largest latency ever added; 0 without samples.
  base::Duration Largest() const { return largest_; }

  // Returns how many latencies were added.
  std::uint64_t Count() const { return count_; }

 private:
  std::vector<base::Duration> samples_;
  std::uint64_t count_ = 0;
  base::Duration largest_{};
  base::RandomSource random_{1};
};

}  // namespace gaugevalve::load
