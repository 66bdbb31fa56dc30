// The receiving end of one direction of a hand-over: takes frames once and in order.
#pragma once

#include <cstdint>

#include "gaugevalve/requests/hand_over_limits.h"
#include "gaugevalve/requests/requests.pb.h"

namespace gaugevalve::requests {

// Holds no frame: one that doesn't come next is dropped, and its sender goes back. Gives credit for
// kWindowFrames ahead unless paused. Not thread-safe.
class FrameReceiver {
 public:
  // `check_sequence` is HandOverMechanisms::check_sequence.
  explicit FrameReceiver(bool check_sequence) : check_sequence_(check_sequence) {}

  // Returns whether the frame with this sequence is to be taken now.
  bool Accept(std::uint64_t sequence);

  // Gives no more credit from now on, or again. What has credit may still come.
  void SetPaused(bool is_paused);

  proto::HandOverAcknowledgement Acknowledgement() const;

 private:
  bool check_sequence_;
  bool is_paused_ = false;
  std::uint64_t next_ = 0;
  std::uint64_t credit_limit_ = kWindowFrames;
};

}  // namespace gaugevalve::requests
