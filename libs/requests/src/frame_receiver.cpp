#include "gaugevalve/requests/frame_receiver.h"

#include <algorithm>

namespace gaugevalve::requests {

bool FrameReceiver::Accept(std::uint64_t sequence) {
  const bool is_next = sequence == next_ && sequence < credit_limit_;
  if (check_sequence_ && !is_next) {
    return false;
  }
  next_ = std::max(next_, sequence + 1);
  SetPaused(is_paused_);
  return true;
}

void FrameReceiver::SetPaused(bool is_paused) {
  is_paused_ = is_paused;
  if (!is_paused_) {
    credit_limit_ = next_ + kWindowFrames;
  }
}

proto::HandOverAcknowledgement FrameReceiver::Acknowledgement() const {
  proto::HandOverAcknowledgement message;
  message.set_next_sequence(next_);
  message.set_credit_limit(std::max(credit_limit_, next_));
  return message;
}

}  // namespace gaugevalve::requests
