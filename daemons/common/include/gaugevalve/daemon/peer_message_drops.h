/// @file
/// Counts messages between nodes that were dropped on this node before they were sent or handled.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/daemon/reason_counters.h"
#include "gaugevalve/transport/peer_transport.h"
#include "prometheus/registry.h"

namespace gaugevalve::daemon {

/// Where a message was dropped. Values index the metric's labels.
enum class PeerMessageDrop : std::uint8_t {
  kOutboxFull,     ///< the control task takes messages of the data task too slowly
  kUnknownMember,  ///< the destination isn't in the member directory
  kQueueFull,      ///< the destination's send queue is full
  kOverBudget,     ///< this node's byte budget is spent
  kTooLarge,       ///< longer than the transport's largest message
  kNoSocket,       ///< no socket could be had
  kInboxFull,      ///< the data task takes messages of the control task too slowly
};
inline constexpr std::size_t kPeerMessageDropCount = 7;

/// Returns the label of the metric, such as "queue_full".
std::string_view ToString(PeerMessageDrop drop);

/// The metric `gaugevalve_peer_messages_dropped_total` and one event `peer_messages_dropped` a
/// second and reason at most, which names the peer that most of them were for or from. Belongs to
/// the control task's thread.
class PeerMessageDrops {
 public:
  explicit PeerMessageDrops(prometheus::Registry& registry);

  /// Records dropped messages. `peer` is the other node, or nothing if it isn't known.
  void Record(PeerMessageDrop drop, std::uint64_t count, std::optional<base::NodeId> peer,
              base::TimePoint now);

  /// Records the result of a transport's Send() to `peer` unless the message was queued.
  void RecordSend(transport::SendResult result, std::optional<base::NodeId> peer,
                  base::TimePoint now);

 private:
  struct Unlogged {
    std::uint64_t count = 0;
    absl::flat_hash_map<base::NodeId, std::uint64_t> by_peer;
    base::TimePoint logged_at{};
  };

  static void Log(PeerMessageDrop drop, const Unlogged& unlogged);

  ReasonCounters m_counters;
  std::array<Unlogged, kPeerMessageDropCount> m_unlogged{};
};

}  // namespace gaugevalve::daemon
