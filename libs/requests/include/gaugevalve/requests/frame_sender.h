// The sending end of one direction of a hand-over: frames in order, kept until acknowledged.
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

// Sends within the receiver's credit and goes back to the first unacknowledged frame when nothing
// moved for a while (go-back-N), so that lost messages only cost time. What waits is bounded by the
// one who pushes, who stops while HasRoom() is false. Not thread-safe.
class FrameSender {
 public:
  // `credit` frames may be sent before the receiver says anything. The pause between repeats
  // doubles from `resend_interval` up to `max_interval`.
  FrameSender(std::uint64_t credit, base::Duration resend_interval, base::Duration max_interval);

  // Adds a frame; its sequence is set here.
  void Push(proto::HandOverFrame frame);

  // Adds body bytes, in chunks of at most kMaxChunkBytes.
  void PushBytes(std::string_view bytes);

  // Takes what the receiver said; stale and impossible ones are passed over.
  void OnAcknowledgement(const proto::HandOverAcknowledgement& message, base::TimePoint now);

  // Returns the frames to send now: new ones, and those whose repeat is due.
  std::vector<proto::HandOverFrame> TakeDue(base::TimePoint now);

  // Starts over towards another receiver, which gives credit anew. Only while
  // HasNothingAcknowledged().
  void Rewind();

  // Returns whether nothing was acknowledged: all that was pushed is still here.
  bool HasNothingAcknowledged() const { return first_ == 0; }
  bool HasRoom() const { return frames_.size() < kWindowFrames; }
  // Returns whether all that was pushed is acknowledged.
  bool IsDrained() const { return frames_.empty(); }
  std::size_t Size() const { return frames_.size(); }

 private:
  std::uint64_t initial_credit_;
  std::uint64_t credit_limit_;
  base::Duration resend_interval_;
  base::Duration max_interval_;
  base::Duration interval_;
  std::deque<proto::HandOverFrame> frames_;
  std::uint64_t first_ = 0;  // sequence of frames_.front()
  std::size_t sent_ = 0;     // of frames_, at least once
  base::TimePoint resend_at_{};
};

}  // namespace gaugevalve::requests
