// Limits the bytes that a node sends per second over all its membership messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "gaugevalve/base/time.h"

namespace gaugevalve::membership {

// Priority of a message while the budget is short.
enum class SendPriority : std::uint8_t {
  kRepair,     // updates and comparisons: limited to the budget minus the reserve
  kProbe,      // failure detection: limited to the whole budget
  kUnlimited,  // never held back: acknowledgements, and messages of a node that has not joined yet
};

// A sliding window over the last second. The limit holds in every second; a token bucket would
// allow its rate and its burst within the same second. Not thread-safe.
class ByteBudget {
 public:
  // Repair traffic is limited to `bytes_per_second` minus `reserve`, which leaves the reserve to
  // probes and acknowledgements.
  ByteBudget(std::size_t bytes_per_second, std::size_t reserve)
      : bytes_per_second_(bytes_per_second), reserve_(reserve) {}

  // Returns how many bytes may be sent at this priority now.
  std::size_t AvailableBytes(SendPriority priority, base::TimePoint now);

  // Records bytes sent now.
  void RecordSent(std::size_t bytes, SendPriority priority, base::TimePoint now);

 private:
  struct Entry {
    base::TimePoint at;
    std::size_t bytes = 0;
    std::size_t repair_bytes = 0;  // part of `bytes`
  };

  std::size_t bytes_per_second_;
  std::size_t reserve_;
  std::deque<Entry> entries_;  // of the last second, one per point in time
  std::size_t sum_ = 0;        // of `entries_`
  std::size_t repair_sum_ = 0;
};

}  // namespace gaugevalve::membership
