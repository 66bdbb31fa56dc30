// What a node may send in a second, over all its membership messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "gaugevalve/base/time.h"

namespace gaugevalve::membership {

// How much a message matters while the budget is short.
enum class SendPriority : std::uint8_t {
  kRepair,     // piggybacked_bytes and comparisons: up to the budget less the reserve
  kProbe,      // failure detection: up to the whole budget
  kUnlimited,  // always: acknowledgements, and what a node sends before it's in service
};

// Holds in every second, not on the mean: the bytes of the last second are added up, where a token
// bucket lets its rate and its burst through in one. Not thread-safe.
class ByteBudget {
 public:
  // Repair gets at most `bytes_per_second` less `reserve`: so much is left for probes and answers.
  ByteBudget(std::size_t bytes_per_second, std::size_t reserve)
      : bytes_per_second_(bytes_per_second), reserve_(reserve) {}

  // Returns how many bytes may go now.
  std::size_t AvailableBytes(SendPriority priority, base::TimePoint now);

  // Notes bytes that go now.
  void RecordSent(std::size_t bytes, SendPriority priority, base::TimePoint now);

 private:
  struct Entry {
    base::TimePoint at;
    std::size_t bytes = 0;
    std::size_t repair_bytes = 0;  // of `bytes`
  };

  std::size_t bytes_per_second_;
  std::size_t reserve_;
  std::deque<Entry> entries_;  // of the last second, one for each time
  std::size_t sum_ = 0;        // of `entries_`
  std::size_t repair_sum_ = 0;
};

}  // namespace gaugevalve::membership
