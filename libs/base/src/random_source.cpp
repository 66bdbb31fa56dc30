#include "gaugevalve/base/random_source.h"

#include <cmath>

namespace gaugevalve::base {

std::uint64_t RandomSource::NextBelow(std::uint64_t bound) {
  // Numbers past the last whole multiple of `bound` are drawn again, so none is favoured.
  const std::uint64_t excess = (UINT64_MAX % bound + 1) % bound;
  std::uint64_t drawn = engine_();
  while (drawn > UINT64_MAX - excess) {
    drawn = engine_();
  }
  return drawn % bound;
}

double RandomSource::NextUnit() {
  constexpr int kUnusedBits = 11;  // a double holds 53 bits of fraction
  constexpr double kScale = 1.0 / 9007199254740992.0;
  return static_cast<double>(engine_() >> kUnusedBits) * kScale;
}

double RandomSource::NextExponential(double mean) { return -mean * std::log1p(-NextUnit()); }

Duration RandomSource::NextJitter(Duration bound) {
  return Duration(
      static_cast<Duration::rep>(NextBelow(static_cast<std::uint64_t>(bound.count()) + 1)));
}

}  // namespace gaugevalve::base
