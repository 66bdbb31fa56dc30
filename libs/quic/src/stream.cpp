#include "stream.h"

#include <algorithm>
#include <utility>

#include "connection.h"

namespace gaugevalve::quic {

Stream::Stream(Connection& connection, std::int64_t id, std::size_t high_water)
    : connection_(connection), id_(id), high_water_(high_water) {}

bool Stream::Write(std::span<const std::uint8_t> bytes) {
  send_buffer_.Append(bytes);
  connection_.ResumeStream(id_);
  if (send_buffer_.size() < high_water_) {
    return true;
  }
  wants_writable_ = true;
  return false;
}

void Stream::EndWrite() {
  send_buffer_.End();
  connection_.ResumeStream(id_);
}

void Stream::Consume(std::size_t bytes) {
  const std::size_t credit = std::min(bytes, unconsumed_);
  unconsumed_ -= credit;
  connection_.ExtendWindows(id_, credit);
}

std::uint64_t Stream::TakeWithheld() { return std::exchange(withheld_, 0); }

std::size_t Stream::TakeUnconsumed() { return std::exchange(unconsumed_, 0); }

void Stream::Acknowledge(std::size_t bytes) {
  send_buffer_.Acknowledge(bytes);
  if (wants_writable_ && send_buffer_.size() <= high_water_ / 2) {
    wants_writable_ = false;
    OnWritable();
  }
}

}  // namespace gaugevalve::quic
