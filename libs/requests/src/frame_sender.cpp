#include "gaugevalve/requests/frame_sender.h"

#include <algorithm>
#include <string>
#include <utility>

namespace gaugevalve::requests {

FrameSender::FrameSender(std::uint64_t credit, base::Duration resend_interval,
                         base::Duration max_interval)
    : initial_credit_(credit),
      credit_limit_(credit),
      resend_interval_(resend_interval),
      max_interval_(max_interval),
      interval_(resend_interval) {}

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

void FrameSender::OnAcknowledgement(const proto::HandOverAcknowledgement& message,
                                    base::TimePoint now) {
  if (message.next_sequence() > first_ + sent_) {
    return;
  }
  credit_limit_ = std::max(credit_limit_, message.credit_limit());
  const bool has_progress = message.next_sequence() > first_;
  while (message.next_sequence() > first_) {
    frames_.pop_front();
    ++first_;
    --sent_;
  }
  if (has_progress) {
    interval_ = resend_interval_;
    resend_at_ = now + interval_;
  }
}

std::vector<proto::HandOverFrame> FrameSender::TakeDue(base::TimePoint now) {
  const std::uint64_t credit = credit_limit_ - std::min(credit_limit_, first_);
  const std::size_t sendable = std::min<std::size_t>(frames_.size(), credit);
  std::size_t begin = sent_;
  if (sent_ == 0) {
    resend_at_ = now + interval_;
  } else if (now >= resend_at_) {
    begin = 0;
    interval_ = std::min(interval_ * 2, max_interval_);
    resend_at_ = now + interval_;
  }
  if (begin >= sendable) {
    return {};
  }
  sent_ = std::max(sent_, sendable);
  return {frames_.begin() + static_cast<std::ptrdiff_t>(begin),
          frames_.begin() + static_cast<std::ptrdiff_t>(sendable)};
}

void FrameSender::Rewind() {
  credit_limit_ = initial_credit_;
  interval_ = resend_interval_;
  sent_ = 0;
}

}  // namespace gaugevalve::requests
