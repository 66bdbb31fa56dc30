/// @file
/// Flows whose endpoint has gone, and whose clients don't know it yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "gaugevalve/placement/flow_packet.h"

namespace gaugevalve::placement {

/// A flow to reset towards its client.
struct DeadFlow {
  FlowKey flow;
  std::uint32_t acknowledged = 0;  ///< by the client, last; it takes a reset near that

  friend bool operator==(const DeadFlow&, const DeadFlow&) = default;
};

/// Paces the resets of dead flows. A client may hold a flow open and idle long after its endpoint
/// has gone, and what it then sends on it is lost; told in time, it opens another one. Answers the
/// load at which many flows die at once. Bounded. Not thread-safe.
class DeadFlowQueue {
 public:
  /// Flows that wait for their reset. More are left to their clients, who find out by themselves.
  static constexpr std::size_t kLimit = 16'384;
  /// Resets in one TakeBatch(). Taken 20 times a second these are 4,000 resets of 36 bytes, 1.2
  /// Mbit/s: an eighth of the narrowest links in use.
  static constexpr std::size_t kAtOnce = 200;

  /// @return  false where there is no room
  bool Add(const DeadFlow& dead);

  /// Takes the next ones.
  std::vector<DeadFlow> TakeBatch();

  std::size_t Waiting() const { return m_waiting.size(); }
  std::uint64_t Total() const { return m_total; }

 private:
  std::deque<DeadFlow> m_waiting;
  std::uint64_t m_total = 0;
};

}  // namespace gaugevalve::placement
