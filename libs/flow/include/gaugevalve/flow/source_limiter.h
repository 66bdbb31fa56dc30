// Limits the rate of new flows per source, in memory that does not grow with the number of sources.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::flow {

// Limits for one source (an IP address, any port).
struct SourceLimiterSettings {
  std::uint32_t rate = 0;      // new flows per second; 0 disables the limiter
  std::uint32_t burst = 10;    // new flows at once in addition to the rate
  std::size_t cells = 16'384;  // cells in each of the two rows; 8 bytes per cell
  std::uint64_t seed = 0;      // hash seed, so that outsiders cannot choose their collisions
};

// A token bucket per source (generic cell rate algorithm) in a count-min sketch: each source has
// one cell in each of two rows and is refused only if both are exhausted. The sketch cannot become
// full. If there are more active sources than cells, a source may be charged for others, but it is
// refused only if both its cells are shared with busy sources. No I/O; not thread-safe.
class SourceLimiter {
 public:
  explicit SourceLimiter(const SourceLimiterSettings& settings);

  // Applies a new rate; 0 disables the limiter.
  void SetRate(std::uint32_t rate);

  // Charges one new flow to the source. Returns false, without charging, if the source is over its
  // limit at `now`.
  bool Allow(const base::SocketAddress& source, base::TimePoint now);

 private:
  static constexpr std::size_t kRows = 2;

  base::Duration interval_{0};  // between new flows at the configured rate
  base::Duration tolerance_{0};
  SourceLimiterSettings settings_;
  // Theoretical arrival time of each cell, up to which its charged flows use the rate.
  std::array<std::vector<base::TimePoint>, kRows> rows_;
};

}  // namespace gaugevalve::flow
