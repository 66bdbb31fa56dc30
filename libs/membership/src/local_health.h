// How far this node trusts its own judgement of others.
#pragma once

#include <algorithm>

#include "gaugevalve/base/time.h"

namespace gaugevalve::membership {

// Lifeguard's local health multiplier: a node that is slow or cut off itself sees signs of it
// (probes fail while relays don't even say no, others suspect it), and gives others more time.
class LocalHealth {
 public:
  void RecordSuccess() { score_ = std::max(score_ - 1, 0); }
  void RecordFailure() { score_ = std::min(score_ + 1, kMaximumScore); }
  // After a pause nothing this node believes is fresh.
  void RecordPause() { score_ = kMaximumScore; }

  // Returns the timeout stretched by the score, up to (1 + kMaximumScore) times.
  base::Duration ScaleTimeout(base::Duration timeout) const { return timeout * (1 + score_); }

 private:
  static constexpr int kMaximumScore = 4;
  int score_ = 0;
};

}  // namespace gaugevalve::membership
