/// @file
/// Shares the frames in flight to each peer among the hand-overs with that peer.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/requests/hand_over_id.h"
#include "gaugevalve/requests/hand_over_limits.h"
#include "gaugevalve/requests/retransmission_timer.h"

namespace gaugevalve::requests {

/// For each peer: the number of frames in flight, which is bounded, and the hand-overs that have a
/// frame to send, which take turns. Holds only peers with hand-overs. Not thread-safe.
class FrameScheduler {
 public:
  /// `limits` must outlive this.
  explicit FrameScheduler(const HandOverLimits& limits) : m_limits(limits) {}

  /// A hand-over with this peer has begun. OnEnded() must follow.
  void OnBegun(base::NodeId peer);

  /// A hand-over has ended.
  /// @param in_flight  its frames that are still in flight
  void OnEnded(base::NodeId peer, const HandOverId& id, std::size_t in_flight);

  /// Queues a hand-over that has a frame to send, unless it is queued already.
  void Enqueue(base::NodeId peer, const HandOverId& id);

  /// Returns the next hand-over that may send a frame, or nothing if none is queued or the frames
  /// in flight have reached the bound.
  std::optional<HandOverId> TakeNext(base::NodeId peer);

  /// A frame was sent.
  void OnSent(base::NodeId peer);

  /// Frames were acknowledged or count as lost.
  void OnReleased(base::NodeId peer, std::size_t count);

  /// Returns the retransmission timer of the peer, which must have a hand-over.
  RetransmissionTimer& Timer(base::NodeId peer);

  std::size_t InFlight(base::NodeId peer) const;

 private:
  struct Peer {
    std::size_t hand_overs = 0;
    std::size_t in_flight = 0;
    std::deque<HandOverId> ready;
    absl::flat_hash_set<HandOverId> queued;  // the hand-overs in `ready`
    RetransmissionTimer timer;
  };

  const HandOverLimits& m_limits;
  absl::flat_hash_map<base::NodeId, Peer> m_peers;
};

}  // namespace gaugevalve::requests
