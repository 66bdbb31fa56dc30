// The body bytes of one stream, kept until the peer has acknowledged them.
#pragma once

#include <nghttp3/nghttp3.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace gaugevalve::quic {

// A queue of bytes with two ends: what was taken for sending, and what was acknowledged. Bytes
// never move in memory before they are acknowledged, since the QUIC library points at them.
class SendBuffer {
 public:
  // Adds bytes at the end.
  void Append(std::span<const std::uint8_t> bytes);

  // No bytes will follow.
  void End() { ended_ = true; }

  // Points up to `count` vectors at bytes that were not taken before. Returns how many it filled.
  std::size_t Take(nghttp3_vec* vectors, std::size_t count);

  // Drops `count` bytes from the front: they arrived.
  void Acknowledge(std::size_t count);

  // Bytes that are queued or not yet acknowledged.
  std::size_t size() const { return size_; }

  // True when every byte there will be has been taken.
  bool IsTaken() const { return ended_ && next_chunk_ == chunks_.size(); }

  bool IsEnded() const { return ended_; }

  // Bytes that were never taken.
  std::size_t UntakenSize() const;

  // Bytes that arrived, of all that were ever added.
  std::uint64_t AcknowledgedCount() const { return acknowledged_in_all_; }

 private:
  std::deque<std::vector<std::uint8_t>> chunks_;  // each never grows past its reserved capacity
  std::size_t next_chunk_ = 0;                    // first chunk that isn't taken as a whole
  std::size_t next_offset_ = 0;                   // bytes of it that are taken
  std::size_t acknowledged_ = 0;                  // bytes of the first chunk that are acknowledged
  std::size_t size_ = 0;
  std::uint64_t acknowledged_in_all_ = 0;
  bool ended_ = false;
};

}  // namespace gaugevalve::quic
