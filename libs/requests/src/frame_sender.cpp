#include "gaugevalve/requests/frame_sender.h"

#include <algorithm>
#include <string>
#include <utility>

namespace gaugevalve::requests {

void FrameSender::Push(proto::HandOverFrame frame) {
  frame.set_sequence(first_ + frames_.size());
  frames_.push_back(std::move(frame));
}

void FrameSender::PushBytes(std::string_view bytes) {
  for (std::size_t begin = 0; begin < bytes.size(); begin += kMaxChunkBytes) {
    proto::HandOverFrame frame;
    frame.set_bytes(std::string(bytes.substr(begin, kMaxChunkBytes)));
    Push(std::move(frame));
  }
}

std::size_t FrameSender::OnAcknowledgement(const proto::HandOverAcknowledgement& message,
                                           RetransmissionTimer& timer, base::TimePoint now) {
  if (message.next_sequence() > first_ + ever_sent_) {
    return 0;
  }
  credit_limit_ = std::max(credit_limit_, message.credit_limit());
  if (message.next_sequence() <= first_) {
    return 0;
  }
  if (timed_sequence_ && *timed_sequence_ < message.next_sequence()) {
    timer.AddSample(now - timed_at_);
    timed_sequence_.reset();
  }
  const std::size_t acknowledged = message.next_sequence() - first_;
  const std::size_t released = std::min(acknowledged, sent_);
  frames_.erase(frames_.begin(), frames_.begin() + static_cast<std::ptrdiff_t>(acknowledged));
  first_ += acknowledged;
  ever_sent_ -= acknowledged;
  sent_ -= released;
  window_ = std::min(window_ + acknowledged, kWindowFrames);
  resend_at_ = now + timer.Interval();
  return released;
}

std::size_t FrameSender::SendableCount() const {
  const std::uint64_t credit = credit_limit_ - std::min(credit_limit_, first_);
  return std::min<std::size_t>({frames_.size(), credit, window_});
}

const proto::HandOverFrame& FrameSender::SendNext(const RetransmissionTimer& timer,
                                                  base::TimePoint now) {
  if (sent_ == 0) {
    resend_at_ = now + timer.Interval();
  }
  const proto::HandOverFrame& frame = frames_[sent_];
  if (sent_ == ever_sent_) {
    ++ever_sent_;
    if (!timed_sequence_) {
      timed_sequence_ = frame.sequence();
      timed_at_ = now;
    }
  }
  ++sent_;
  return frame;
}

std::size_t FrameSender::RestartAfterLoss(RetransmissionTimer& timer, base::TimePoint now) {
  timer.NoteLoss(now);
  window_ = 1;
  timed_sequence_.reset();
  return std::exchange(sent_, 0);
}

void FrameSender::Rewind() {
  credit_limit_ = initial_credit_;
  sent_ = 0;
  ever_sent_ = 0;
  window_ = kWindowFrames;
  timed_sequence_.reset();
}

}  // namespace gaugevalve::requests
