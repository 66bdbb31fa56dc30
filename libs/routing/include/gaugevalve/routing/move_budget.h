// Rate limit for bucket moves.
#pragma once

#include <cstddef>
#include <cstdint>

#include "gaugevalve/base/time.h"

namespace gaugevalve::routing {

// Token bucket for moves: at most `per_step` at once and `per_minute` on average, with up to one
// minute's allowance saved up. Not thread-safe.
class MoveBudget {
 public:
  MoveBudget(std::uint32_t per_step, std::uint32_t per_minute)
      : per_step_(per_step), per_minute_(per_minute), tokens_(per_minute) {}

  // Returns how many moves are allowed at `now`. Time mustn't go backwards.
  std::size_t Available(base::TimePoint now);

  // Consumes `moves` from the budget; at most what Available() returned.
  void Spend(std::size_t moves) { tokens_ -= static_cast<double>(moves); }

 private:
  std::uint32_t per_step_;
  std::uint32_t per_minute_;
  double tokens_;
  base::TimePoint refilled_at_{};
};

}  // namespace gaugevalve::routing
