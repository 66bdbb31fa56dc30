/// @file
/// Queue of flows whose endpoint was lost and whose clients have not been told yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "gaugevalve/placement/flow_packet.h"
#include "gaugevalve/placement/reset_evidence.h"

namespace gaugevalve::placement {

/// A flow to be reset towards its client.
struct DeadFlow {
  FlowKey flow;
  /// Last acknowledgement number from the client, which accepts a reset near that number.
  std::uint32_t acknowledged = 0;
  /// Why the flow counts as ended, for logs; not compared.
  ResetEvidence evidence{};

  friend bool operator==(const DeadFlow& left, const DeadFlow& right) {
    return left.flow == right.flow && left.acknowledged == right.acknowledged;
  }
};

/// Rate-limits the resets of dead flows. A client may keep an idle flow open long after its
/// endpoint was lost; a request that it then sends on the flow is lost. A client that gets a reset
/// in time opens another flow. The queue is bounded and its batches limit the packet rate when many
/// flows die at once. Not thread-safe.
class DeadFlowQueue {
 public:
  /// Maximum number of queued flows. Further flows are not reset; their clients find out from
  /// their own time-outs.
  static constexpr std::size_t kLimit = 16'384;
  /// Resets in one TakeBatch(). 20 batches a second are 4,000 resets of 36 bytes, or 1.2 Mbit/s: an
  /// eighth of the slowest links in use.
  static constexpr std::size_t kMaxBatchSize = 200;

  /// @return  false if the queue is full
  bool Add(const DeadFlow& dead);

  /// Removes and returns the next batch.
  std::vector<DeadFlow> TakeBatch();

  std::size_t Waiting() const { return m_waiting.size(); }
  std::uint64_t Total() const { return m_total; }

 private:
  std::deque<DeadFlow> m_waiting;
  std::uint64_t m_total = 0;
};

}  // namespace gaugevalve::placement
