// Sender of one direction of a hand-over: keeps frames in order until they are acknowledged.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

#include "gaugevalve/base/time.h"
#include "gaugevalve/requests/hand_over_limits.h"
#include "gaugevalve/requests/requests.pb.h"
#include "gaugevalve/requests/retransmission_timer.h"

namespace gaugevalve::requests {

// Sends within the receiver's credit. If nothing is acknowledged for the interval of the timer, all
// frames in flight count as lost and the first one is sent again; the others follow as
// acknowledgements arrive. A lost message thus only costs time, and a slow receiver is not loaded
// with repetitions. The caller bounds the buffer by not pushing while HasRoom() is false, and the
// frames in flight by when it calls SendNext(). Not thread-safe.
class FrameSender {
 public:
  // `credit` frames may be sent before the first acknowledgement.
  explicit FrameSender(std::uint64_t credit) : initial_credit_(credit), credit_limit_(credit) {}

  // Appends a frame and sets its sequence number.
  void Push(proto::HandOverFrame frame);

  // Appends body bytes in chunks of at most kMaxChunkBytes.
  void PushBytes(std::string_view bytes);

  // Handles an acknowledgement; outdated and impossible ones are ignored. Adds a measured round
  // trip to the timer. Returns how many frames are no longer in flight.
  std::size_t OnAcknowledgement(const proto::HandOverAcknowledgement& message,
                                RetransmissionTimer& timer, base::TimePoint now);

  // Returns whether there is a frame that may be sent now.
  bool CanSend() const { return sent_ < SendableCount(); }

  // Returns the next frame to send; it is in flight from now on. Call only if CanSend().
  const proto::HandOverFrame& SendNext(const RetransmissionTimer& timer, base::TimePoint now);

  // Returns whether the frames in flight have not been acknowledged in time.
  bool IsOverdue(base::TimePoint now) const { return sent_ > 0 && now >= resend_at_; }

  // Counts the frames in flight as lost: the first one is sent next. Returns their number.
  std::size_t RestartAfterLoss(RetransmissionTimer& timer, base::TimePoint now);

  // Restarts from the first frame for another receiver, with the initial credit. Call only while
  // HasNothingAcknowledged().
  void Rewind();

  // Returns whether no frame was acknowledged, so that all frames are still available.
  bool HasNothingAcknowledged() const { return first_ == 0; }
  bool HasRoom() const { return frames_.size() < kWindowFrames; }
  std::size_t InFlight() const { return sent_; }

 private:
  std::size_t SendableCount() const;

  std::uint64_t initial_credit_;
  std::uint64_t credit_limit_;
  std::deque<proto::HandOverFrame> frames_;
  std::uint64_t first_ = 0;    // sequence number of frames_.front()
  std::size_t sent_ = 0;       // frames in flight, at the front of frames_
  std::size_t ever_sent_ = 0;  // frames at the front of frames_ that were sent at least once
  std::uint64_t window_ = kWindowFrames;  // most frames in flight; grows from 1 after a loss
  base::TimePoint resend_at_{};
  // A frame that was sent once and has not been acknowledged, and when it was sent.
  std::optional<std::uint64_t> timed_sequence_;
  base::TimePoint timed_at_{};
};

}  // namespace gaugevalve::requests
