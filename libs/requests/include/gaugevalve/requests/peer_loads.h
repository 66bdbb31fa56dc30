// What an agent knows of the load of the other agents of its service, and whom it asks to run a
// request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/requests/hand_over_limits.h"
#include "gaugevalve/requests/requests.pb.h"
#include "gaugevalve/routing/bucket_table.h"

namespace gaugevalve::requests {

// Why a request looks for another agent.
enum class HandOverNeed : std::uint8_t {
  kCannotRunHere,  // this agent drains or its endpoint is down: any room elsewhere will do
  kShorterWait,    // it would wait long here: only a peer with clearly more free slots will do
};

// What bears on one request at the agent that has it.
struct LocalSituation {
  bool was_handed_over = false;
  bool is_stream = false;  // long-lived streams follow their connection
  bool is_draining = false;
  bool is_endpoint_down = false;
  base::Duration estimated_wait{0};
};

// Returns why the request should run elsewhere, or nothing when it stays.
std::optional<HandOverNeed> FindHandOverNeed(const LocalSituation& situation,
                                             const HandOverLimits& limits);

// An agent that a request is handed over to.
struct ChosenPeer {
  base::NodeId node;
  base::Incarnation incarnation;
};

// Believes only fresh announcements of lives that the service's table lists: an agent of an older
// release, which would let an offer pass unanswered, announces nothing and is never asked. Bounded
// by the table. Not thread-safe.
class PeerLoads {
 public:
  // `self` is never chosen.
  PeerLoads(base::NodeId self, const HandOverLimits& limits);

  // Forgets agents that the table doesn't list any more.
  void SetTable(const routing::BucketTable& table);

  // Takes an announcement.
  void Learn(const proto::HandOverLoad& load, base::TimePoint now);

  // Returns the better of two random peers that have room ("power of two choices"), none of those
  // tried before; nothing when no peer will do.
  std::optional<ChosenPeer> Choose(HandOverNeed need, const std::vector<base::NodeId>& tried,
                                   base::RandomSource& random, base::TimePoint now) const;

  // A hand-over to this peer began, or ended.
  void Began(base::NodeId node);
  void Ended(base::NodeId node);

  // The peer refused: it has no room until it announces some.
  void Refused(base::NodeId node);

  std::size_t InFlight(base::NodeId node) const;
  std::size_t Size() const { return peers_.size(); }

 private:
  struct Peer {
    base::Incarnation listed_incarnation;
    base::Incarnation announced_incarnation;
    std::int64_t free_slots = 0;  // less the hand-overs begun since
    std::int64_t queue_room = 0;
    bool takes_requests = false;
    bool was_heard = false;
    base::TimePoint heard_at{};
  };

  bool HasRoom(base::NodeId node, const Peer& peer, HandOverNeed need, base::TimePoint now) const;

  base::NodeId self_;
  HandOverLimits limits_;
  absl::flat_hash_map<base::NodeId, Peer> peers_;
  absl::flat_hash_map<base::NodeId, std::size_t> in_flight_;  // bounded by origin_capacity
};

}  // namespace gaugevalve::requests
