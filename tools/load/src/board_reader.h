// Reads the live board's server-sent events as they come.
#pragma once

#include <cstdint>
#include <span>
#include <string>

namespace gaugevalve::load {

// Counts events and the numbers that are missing between them. A decision core.
class BoardReader {
 public:
  // Longest line that is kept; longer ones can't be an event's number.
  static constexpr std::size_t kMaxLineBytes = 1024;

  void Read(std::span<const std::uint8_t> bytes);

  std::uint64_t Events() const { return events_; }

  // Returns how many event numbers were skipped, or came again, after the first.
  std::uint64_t Gaps() const { return gaps_; }

 private:
  void OnLine();

  std::string line_;
  std::uint64_t last_number_ = 0;
  std::uint64_t events_ = 0;
  std::uint64_t gaps_ = 0;
};

}  // namespace gaugevalve::load
