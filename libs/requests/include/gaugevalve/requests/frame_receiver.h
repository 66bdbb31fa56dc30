// Receiver of one direction of a hand-over: accepts each frame once and in order.
#pragma once

#include <cstdint>

#include "gaugevalve/requests/hand_over_limits.h"
#include "gaugevalve/requests/requests.pb.h"

namespace gaugevalve::requests {

// Buffers no frames: a frame that is out of order is dropped, and its sender goes back to it.
// Grants credit for kWindowFrames beyond the next expected frame unless paused. Not thread-safe.
class FrameReceiver {
 public:
  // `check_sequence` is HandOverMechanisms::check_sequence.
  explicit FrameReceiver(bool check_sequence) : check_sequence_(check_sequence) {}

  // Returns whether the frame with this sequence number is accepted.
  bool Accept(std::uint64_t sequence);

  // Stops or resumes granting credit. Frames within the credit granted so far may still arrive.
  void SetPaused(bool is_paused);

  proto::HandOverAcknowledgement Acknowledgement() const;

 private:
  bool check_sequence_;
  bool is_paused_ = false;
  std::uint64_t next_ = 0;
  std::uint64_t credit_limit_ = kWindowFrames;
};

}  // namespace gaugevalve::requests
