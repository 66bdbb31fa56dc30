#include "send_buffer.h"

#include <algorithm>

namespace gaugevalve::quic {
namespace {

// Small writes, as of an event stream, share chunks of this size.
constexpr std::size_t kMinChunkCapacity = 1024;

}  // namespace

void SendBuffer::Append(std::span<const std::uint8_t> bytes) {
  size_ += bytes.size();
  if (!chunks_.empty()) {
    std::vector<std::uint8_t>& last = chunks_.back();
    const std::size_t room = std::min(last.capacity() - last.size(), bytes.size());
    const bool was_taken = next_chunk_ == chunks_.size();
    if (room > 0 && was_taken) {
      next_chunk_ = chunks_.size() - 1;
      next_offset_ = last.size();
    }
    last.insert(last.end(), bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(room));
    bytes = bytes.subspan(room);
  }
  if (bytes.empty()) {
    return;
  }
  std::vector<std::uint8_t>& chunk = chunks_.emplace_back();
  chunk.reserve(std::max(bytes.size(), kMinChunkCapacity));
  chunk.assign(bytes.begin(), bytes.end());
}

std::size_t SendBuffer::Take(nghttp3_vec* vectors, std::size_t count) {
  std::size_t filled = 0;
  while (filled < count && next_chunk_ < chunks_.size()) {
    std::vector<std::uint8_t>& chunk = chunks_[next_chunk_];
    vectors[filled] = {chunk.data() + next_offset_, chunk.size() - next_offset_};
    ++filled;
    ++next_chunk_;
    next_offset_ = 0;
  }
  return filled;
}

std::size_t SendBuffer::UntakenSize() const {
  std::size_t untaken = 0;
  for (std::size_t index = next_chunk_; index < chunks_.size(); ++index) {
    untaken += chunks_[index].size();
  }
  return untaken - next_offset_;
}

void SendBuffer::Acknowledge(std::size_t count) {
  acknowledged_in_all_ += std::min(count, size_);
  size_ -= std::min(count, size_);
  while (count > 0 && !chunks_.empty()) {
    const std::size_t step = std::min(count, chunks_.front().size() - acknowledged_);
    acknowledged_ += step;
    count -= step;
    if (acknowledged_ < chunks_.front().size()) {
      return;
    }
    chunks_.pop_front();
    acknowledged_ = 0;
    next_chunk_ -= next_chunk_ > 0 ? 1 : 0;
  }
}

}  // namespace gaugevalve::quic
