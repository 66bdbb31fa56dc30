// Times, bounds and mechanisms of the hand-over of requests between the agents of one service.
#pragma once

#include <cstddef>
#include <cstdint>

#include "gaugevalve/base/time.h"

namespace gaugevalve::requests {

// Maximum body bytes per frame. With its headers such a frame is far below the maximum message size
// of the transport.
inline constexpr std::size_t kMaxChunkBytes = 16 * std::size_t{1024};

// Maximum number of unacknowledged frames per direction of a hand-over. Multiplied by
// kMaxChunkBytes, this is the most that a receiver must accept after pausing.
inline constexpr std::uint64_t kWindowFrames = 8;

// The mechanisms that provide the guarantee. All are enabled; the proof disables one at a time to
// show that it detects the fault.
struct HandOverMechanisms {
  bool check_sequence = true;      // frames are accepted once and in order
  bool check_incarnation = true;   // a message is for one incarnation of its sender and receiver
  bool bound_hops = true;          // a request that was handed over is not handed over again
  bool remember_ended = true;      // an offer that ended is not accepted again
  bool silence_is_unknown = true;  // a silent peer may have run the request
  bool repeat_only_safe = true;    // only a safe request is offered again after a peer fell silent
  bool remember_loss = true;       // after a peer was lost, "not run" from another peer is no proof
  bool remember_refused = true;    // an offer that was refused is not accepted later
  bool bound_in_flight = true;     // limits hand-overs per peer and in total
  bool agent_liveness = true;      // any message of an agent shows that it lives
  bool bound_frames = true;        // limits the frames in flight to a peer
};

struct HandOverLimits {
  std::size_t origin_capacity = 256;  // concurrent hand-overs to peers; further requests stay here
  std::size_t in_flight_per_peer = 32;  // concurrent hand-overs to one peer
  std::size_t executor_capacity = 256;  // concurrent runs for peers; further offers are refused
  std::size_t remembered_per_origin = 1'024;  // ended hand-overs; lower numbers count as ended too
  std::size_t remembered_origins = 256;       // see OfferDeduplicator
  std::size_t max_offers = 2;                 // peers that are offered one request
  std::uint32_t min_free_slots_for_shorter_wait = 2;  // free slots a peer needs for kShorterWait
  base::Duration max_local_wait{1'000'000};           // estimated wait above which a peer is sought
  // Frames in flight to one peer, of all hand-overs in the same direction. The transport's queue to
  // one destination has room for both directions; only repeated frames can fill it.
  std::size_t frames_per_peer = 12;
  // Bounds of the interval before a retransmission, which follows the round-trip time and doubles
  // with each retransmission in a row.
  base::Duration resend_interval{100'000};
  base::Duration max_resend_interval{1'000'000};
  // Between acknowledgements that only repeat the credit of a hand-over. Releases before this one
  // take a peer for lost after peer_timeout without a message about the hand-over.
  base::Duration heartbeat_interval{1'000'000};
  // Such acknowledgements per call of OnTimer() and direction, so that those of many hand-overs do
  // not fill the transport's queue at once.
  std::size_t heartbeats_per_tick = 16;
  base::Duration peer_timeout{3'000'000};  // silence after which another agent counts as lost
  // The same if its process is known to live: messages may be dropped, but not for so long.
  base::Duration live_peer_timeout{10'000'000};
  base::Duration load_interval{1'000'000};  // between announcements of this agent's load
  base::Duration max_load_age{5'000'000};   // older announcements of a peer are ignored
  std::size_t announced_peers = 8;          // peers notified per announcement, in rotation
  double retry_share = 0.1;                 // repeated offers of safe requests, per first offer
  double retry_burst = 10.0;
  HandOverMechanisms mechanisms;
};

}  // namespace gaugevalve::requests
