// A token bucket in bytes.
#pragma once

#include <cstdint>

#include "gaugevalve/base/time.h"

namespace gaugevalve::dissemination {

// Allows `bytes_per_second` on average and `burst_bytes` at once. A caller may overdraw the budget;
// nothing more may be sent until the debt is paid off, so the average still holds.
class ByteBudget {
 public:
  ByteBudget(double bytes_per_second, double burst_bytes)
      : bytes_per_second_(bytes_per_second), burst_bytes_(burst_bytes), tokens_(burst_bytes) {}

  // Adds the tokens accrued since the last call.
  void Refill(base::TimePoint now) {
    if (started_ && now > refilled_at_) {
      const std::chrono::duration<double> elapsed = now - refilled_at_;
      tokens_ += elapsed.count() * bytes_per_second_;
      tokens_ = tokens_ < burst_bytes_ ? tokens_ : burst_bytes_;
    }
    started_ = true;
    refilled_at_ = now;
  }

  // Deducts these bytes; the balance may become negative.
  void Spend(std::uint64_t bytes) { tokens_ -= static_cast<double>(bytes); }

  // Returns whether something may be sent.
  bool HasTokens() const { return tokens_ > 0; }

  // Returns when HasTokens() becomes true again, as of the last Refill().
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
