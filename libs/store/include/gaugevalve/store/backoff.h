// Exponential back-off with full jitter.
#pragma once

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::store {

// The range the delays are drawn from.
struct BackoffSettings {
  base::Duration base = std::chrono::milliseconds(200);  // upper bound of the first delay
  base::Duration cap = std::chrono::seconds(10);         // upper bound of all delays
};

// Returns the settings with their bounds raised so that clients which all lose the store at once
// come back spread over at least the time that their rates allow for one request each. Without it
// the first retries of a large deployment arrive within `base`, since every client has a token.
BackoffSettings SpreadBackoff(const BackoffSettings& settings, double requests_per_second);

// Delay number n is uniform in [0, min(cap, base * 2^n)]. The jitter is over the whole range, as
// clients which failed together must not come back together. Not thread-safe.
class Backoff {
 public:
  explicit Backoff(const BackoffSettings& settings) : settings_(settings), bound_(settings.base) {}

  // Returns the next delay.
  base::Duration Next(base::RandomSource& random);

  // Begins again after a success.
  void Reset() { bound_ = settings_.base; }

 private:
  BackoffSettings settings_;
  base::Duration bound_;
};

}  // namespace gaugevalve::store
