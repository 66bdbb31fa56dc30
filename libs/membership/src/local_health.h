// Estimates how reliable this node's own observations are.
#pragma once

#include <algorithm>

#include "gaugevalve/base/time.h"

namespace gaugevalve::membership {

// Lifeguard's local health multiplier. A node that is slow or isolated sees probes fail without a
// nack from a relay, or is suspected by others. It then uses longer timeouts for other members.
class LocalHealth {
 public:
  void RecordSuccess() { score_ = std::max(score_ - 1, 0); }
  void RecordFailure() { score_ = std::min(score_ + 1, kMaximumScore); }
  // After a pause nothing in this node's view is current.
  void RecordPause() { score_ = kMaximumScore; }

  // Returns the timeout multiplied by (1 + score), at most by (1 + kMaximumScore).
  base::Duration ScaleTimeout(base::Duration timeout) const { return timeout * (1 + score_); }

 private:
  static constexpr int kMaximumScore = 4;
  int score_ = 0;
};

}  // namespace gaugevalve::membership
