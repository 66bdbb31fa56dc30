// Sender of one direction of a hand-over: keeps frames in order until they are acknowledged.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/requests/hand_over_limits.h"
#include "gaugevalve/requests/requests.pb.h"

namespace gaugevalve::requests {

// Sends within the receiver's credit. When nothing is acknowledged for a while, it resends from the
// first unacknowledged frame (go-back-N), so that a lost message only costs time. The caller bounds
// the buffer by not pushing while HasRoom() is false. Not thread-safe.
class FrameSender {
 public:
  // `credit` frames may be sent before the first acknowledgement. The interval between
  // retransmissions doubles from `resend_interval` up to `max_interval`.
  FrameSender(std::uint64_t credit, base::Duration resend_interval, base::Duration max_interval);

  // Appends a frame and sets its sequence number.
  void Push(proto::HandOverFrame frame);

  // Appends body bytes in chunks of at most kMaxChunkBytes.
  void PushBytes(std::string_view bytes);

  // Handles an acknowledgement; outdated and impossible ones are ignored.
  void OnAcknowledgement(const proto::HandOverAcknowledgement& message, base::TimePoint now);

  // Returns the frames to send now: new frames, and frames that are due for retransmission.
  std::vector<proto::HandOverFrame> TakeDue(base::TimePoint now);

  // Restarts from the first frame for another receiver, with the initial credit. Call only while
  // HasNothingAcknowledged().
  void Rewind();

  // Returns whether no frame was acknowledged, so that all frames are still available.
  bool HasNothingAcknowledged() const { return first_ == 0; }
  bool HasRoom() const { return frames_.size() < kWindowFrames; }
  // Returns whether all frames are acknowledged.
  bool IsDrained() const { return frames_.empty(); }
  std::size_t Size() const { return frames_.size(); }

 private:
  std::uint64_t initial_credit_;
  std::uint64_t credit_limit_;
  base::Duration resend_interval_;
  base::Duration max_interval_;
  base::Duration interval_;
  std::deque<proto::HandOverFrame> frames_;
  std::uint64_t first_ = 0;  // sequence number of frames_.front()
  std::size_t sent_ = 0;  // number of frames at the front of frames_ that were sent at least once
  base::TimePoint resend_at_{};
};

}  // namespace gaugevalve::requests
