// A token bucket in bytes.
#pragma once

#include <cstdint>

#include "gaugevalve/base/time.h"

namespace gaugevalve::dissemination {

// Lets through `bytes_per_second` on average and `burst_bytes` at once. A caller may overdraw: the
// debt is then worked off before anything else is let through, so the average holds.
class ByteBudget {
 public:
  ByteBudget(double bytes_per_second, double burst_bytes)
      : bytes_per_second_(bytes_per_second), burst_bytes_(burst_bytes), tokens_(burst_bytes) {}

  // Adds what has come in since the last call.
  void Refill(base::TimePoint now) {
    if (started_ && now > refilled_at_) {
      const std::chrono::duration<double> elapsed = now - refilled_at_;
      tokens_ += elapsed.count() * bytes_per_second_;
      tokens_ = tokens_ < burst_bytes_ ? tokens_ : burst_bytes_;
    }
    started_ = true;
    refilled_at_ = now;
  }

  // Takes these bytes off, below zero if need be.
  void Spend(std::uint64_t bytes) { tokens_ -= static_cast<double>(bytes); }

  // True when something may be sent.
  bool HasTokens() const { return tokens_ > 0; }

  // Returns when HasTokens() will be true again, seen from the last Refill().
  base::TimePoint AvailableAt() const {
    if (tokens_ > 0) {
      return refilled_at_;
    }
    const std::chrono::duration<double> wait((1.0 - tokens_) / bytes_per_second_);
    return refilled_at_ + std::chrono::duration_cast<base::Duration>(wait) + base::Duration(1);
  }

 private:
  double bytes_per_second_;
  double burst_bytes_;
  double tokens_;
  bool started_ = false;
  base::TimePoint refilled_at_{};
};

}  // namespace gaugevalve::dissemination
