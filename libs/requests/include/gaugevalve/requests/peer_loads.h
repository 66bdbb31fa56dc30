// Load of the other agents of a service, and the choice of an agent to hand a request over to.
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

// Why a request should run at another agent.
enum class HandOverNeed : std::uint8_t {
  kCannotRunHere,  // this agent drains or its endpoint is down: a peer with any capacity is
                   // suitable
  kShorterWait,    // the wait here would be long: a peer needs several free slots
};

// The state of a request and its agent that decides whether it is handed over.
struct LocalSituation {
  bool was_handed_over = false;
  bool is_stream = false;  // long-lived streams stay with their connection
  bool is_draining = false;
  bool is_endpoint_down = false;
  base::Duration estimated_wait{0};
};

// Returns why the request should run at another agent; nothing if it should stay.
std::optional<HandOverNeed> FindHandOverNeed(const LocalSituation& situation,
                                             const HandOverLimits& limits);

// The agent that a request is handed over to.
struct ChosenPeer {
  base::NodeId node;
  base::Incarnation incarnation;
};

// Uses only recent announcements of incarnations that the service's table lists. An agent of an
// older release would ignore an offer; it does not announce its load and is therefore never chosen.
// Bounded by the table. Not thread-safe.
class PeerLoads {
 public:
  // `self` is never chosen.
  PeerLoads(base::NodeId self, const HandOverLimits& limits);

  // Removes agents that the table no longer lists.
  void SetTable(const routing::BucketTable& table);

  // Stores an announcement.
  void Update(const proto::HandOverLoad& load, base::TimePoint now);

  // Returns the better of two random peers with capacity ("power of two choices"), excluding those
  // in `tried_peers`; nothing if no peer is suitable.
  std::optional<ChosenPeer> Choose(HandOverNeed need, const std::vector<base::NodeId>& tried_peers,
                                   base::RandomSource& random, base::TimePoint now) const;

  // A hand-over to this peer began or ended.
  void OnHandOverBegun(base::NodeId node);
  void OnHandOverEnded(base::NodeId node);

  // The peer refused: it counts as full until its next announcement.
  void OnRefused(base::NodeId node);

  std::size_t InFlight(base::NodeId node) const;
  std::size_t Size() const { return peers_.size(); }

 private:
  struct Peer {
    base::Incarnation listed_incarnation;
    base::Incarnation announced_incarnation;
    std::int64_t free_slots = 0;  // minus the hand-overs begun since the announcement
    std::int64_t queue_room = 0;
    bool takes_requests = false;
    bool is_load_known = false;
    base::TimePoint load_received_at{};
  };

  bool HasRoom(base::NodeId node, const Peer& peer, HandOverNeed need, base::TimePoint now) const;

  base::NodeId self_;
  HandOverLimits limits_;
  absl::flat_hash_map<base::NodeId, Peer> peers_;
  absl::flat_hash_map<base::NodeId, std::size_t> in_flight_;  // bounded by origin_capacity
};

}  // namespace gaugevalve::requests
