// Limits how much new traffic one source brings, in memory that doesn't grow with sources.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::flow {

// What one source (an IP address, any port) may open.
struct SourceLimiterSettings {
  std::uint32_t rate = 0;      // new flows a second; 0 turns the limiter off
  std::uint32_t burst = 10;    // new flows at once on top of the rate
  std::size_t cells = 16'384;  // size of each of the two rows; 8 bytes a cell
  std::uint64_t seed = 0;      // keyed so that outsiders can't choose what they collide with
};

// A token bucket per source (the generic cell rate algorithm), kept in a count-min sketch: each
// source has a cell in each of two rows and is refused only when both are spent. The sketch can't
// be full: with more active sources than cells, a source may be charged for others, but only where
// it shares both its cells with busy ones. Pure and not thread-safe.
class SourceLimiter {
 public:
  explicit SourceLimiter(const SourceLimiterSettings& settings);

  // Goes by another rate from now on; 0 turns the limiter off.
  void SetRate(std::uint32_t rate);

  // Charges one new flow to the source. Returns false, and charges nothing, when it is over its
  // limit at `now`.
  bool Allow(const base::SocketAddress& source, base::TimePoint now);

 private:
  static constexpr std::size_t kRows = 2;

  base::Duration interval_{0};  // between new flows at the rate
  base::Duration tolerance_{0};
  SourceLimiterSettings settings_;
  // The time at which each cell has paid for all that was charged to it.
  std::array<std::vector<base::TimePoint>, kRows> rows_;
};

}  // namespace gaugevalve::flow
