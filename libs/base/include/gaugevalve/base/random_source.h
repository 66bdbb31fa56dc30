// Random numbers, injected so that every run can be repeated from its seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

#include "gaugevalve/base/time.h"

namespace gaugevalve::base {

// A seeded generator (std::mt19937_64, whose sequence the standard fixes). The helpers avoid the
// standard distributions, whose results differ between libraries. Not thread-safe: one per owner.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  // Returns a uniform number of all 64 bits.
  std::uint64_t NextUint64() { return engine_(); }

  // Returns a uniform number in [0, bound); `bound` must be above 0.
  std::uint64_t NextBelow(std::uint64_t bound);

  // Returns a uniform number in [0, 1).
  double NextUnit();

  // Returns an exponentially distributed number with this mean, for arrivals and lengths.
  double NextExponential(double mean);

  // Returns a uniform duration in [0, bound]: "full jitter" for back-off.
  Duration NextJitter(Duration bound);

 private:
  std::mt19937_64 engine_;
};

}  // namespace gaugevalve::base
