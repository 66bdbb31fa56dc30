// Times, bounds and mechanisms of the hand-over of requests between agents of one service.
#pragma once

#include <cstddef>
#include <cstdint>

#include "gaugevalve/base/time.h"

namespace gaugevalve::requests {

// Bytes of a body in one frame. A frame with its envelope is far below the transport's largest
// message.
inline constexpr std::size_t kMaxChunkBytes = 16 * std::size_t{1024};

// Frames of one direction of one hand-over that may be under way: with kMaxChunkBytes the most that
// a receiver has to take after it said "stop".
inline constexpr std::uint64_t kWindowFrames = 8;

// The mechanisms of the guarantee. All are on; a proof switches one off to show that it would
// notice.
struct HandOverMechanisms {
  bool check_sequence = true;      // frames are taken once and in order
  bool check_incarnation = true;   // a message is for one life of its sender and its receiver
  bool bound_hops = true;          // what was handed over is never handed on
  bool remember_ended = true;      // an offer that ended isn't taken again
  bool silence_is_unknown = true;  // a peer that falls silent may have run the request
  bool repeat_only_safe = true;    // only a safe request is offered again after a peer_timeout
  bool remember_loss = true;       // after a lost peer, another's "not run" is no proof
  bool remember_refused = true;    // an offer that was refused isn't taken later
  bool bound_in_flight = true;     // hand-overs to each peer, and in all
};

struct HandOverLimits {
  std::size_t origin_capacity = 256;          // handed over at once; more stay here
  std::size_t in_flight_per_peer = 32;        // handed over to one peer at once
  std::size_t executor_capacity = 256;        // taken from others at once; more are refused
  std::size_t remembered_per_origin = 1'024;  // ended hand-overs; older ones count as ended too
  std::size_t remembered_origins = 256;       // see OfferDeduplicator
  std::size_t max_offers = 2;                 // peers asked for one request
  std::uint32_t min_free_slots_for_shorter_wait =
      2;                                     // free at a peer, to move a request for a shorter wait
  base::Duration max_local_wait{1'000'000};  // estimated wait above which a peer is looked for
  base::Duration resend_interval{100'000};   // between repeats; doubles up to heartbeat_interval
  base::Duration heartbeat_interval{500'000};
  base::Duration peer_timeout{3'000'000};   // after which the other side counts as lost
  base::Duration load_interval{1'000'000};  // between announcements of our load
  base::Duration max_load_age{5'000'000};   // how long a peer's load is believed
  std::size_t announced_peers = 8;          // told our load at a time; the others take their turn
  double retry_share = 0.1;  // safe requests offered again after a peer_timeout, per offer
  double retry_burst = 10.0;
  HandOverMechanisms mechanisms;
};

}  // namespace gaugevalve::requests
