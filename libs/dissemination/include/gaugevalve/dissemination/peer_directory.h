// The peers of a node and the selection among them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/dissemination/record.h"

namespace gaugevalve::dissemination {

// A live peer, as reported by the membership. A full peer holds everything; a narrow peer holds the
// records of one scope and of its common kinds.
struct Peer {
  base::NodeId node;
  std::string zone;
  Interest interest;

  friend bool operator==(const Peer&, const Peer&) = default;
};

// Holds the live peers (the caller limits their number) and selects random ones, mostly in this
// node's zone: most traffic stays within the zone, but updates still reach every zone. Not
// thread-safe.
class PeerDirectory {
 public:
  // `random` must outlive this object. `self` is never among the peers.
  PeerDirectory(Peer self, base::RandomSource& random) : self_(std::move(self)), random_(&random) {}

  // Adds a peer or replaces its entry.
  void Upsert(const Peer& peer);

  // Removes a peer that left or died.
  void Remove(base::NodeId node);

  // Returns the peer, or null.
  const Peer* Find(base::NodeId node) const;

  // Returns the relays to which this node sends new records of this key: any peers for records of
  // common kinds, otherwise full peers. Returns up to `count` distinct peers, the last of them from
  // any zone. The selection is kept for a while, so that updates due at the same time share
  // messages.
  const std::vector<base::NodeId>& Relays(const RecordKey& key, std::size_t count,
                                          base::TimePoint now);

  // Returns a random full peer, or node 0 when there is none. One in four is from any zone, the
  // others are from this node's zone if it has one.
  base::NodeId ChooseFullPeer();

  // Returns up to `limit` peers that hold this key only because of its scope.
  std::vector<base::NodeId> PeersOfScope(const RecordKey& key, std::size_t limit);

  // Returns the narrow peers among them that are assigned to this node: it sends them the key's
  // records whoever the author is. Each narrow peer is assigned to kAssignedNodesPerPeer nodes, the
  // full nodes that follow it on a hash ring. This spreads the work evenly, and all nodes compute
  // the same assignment.
  std::vector<base::NodeId> AssignedPeersOfScope(const RecordKey& key);

  std::size_t PeerCount() const { return peers_.size(); }
  std::size_t FullPeerCount();

 private:
  // A peer that receives each update from two nodes misses it only when both messages are lost.
  static constexpr std::size_t kAssignedNodesPerPeer = 2;

  struct Group {
    std::vector<base::NodeId> near;  // in this node's zone
    std::vector<base::NodeId> all;   // in any zone, including this node's
  };

  // Relays that are reused until `valid_until`.
  struct RelaySet {
    std::vector<base::NodeId> nodes;
    base::TimePoint valid_until{};
  };

  using NodesByScope = std::unordered_map<std::uint32_t, std::vector<base::NodeId>>;

  void Rebuild();
  void RebuildScopes(const std::vector<base::NodeId>& sorted);
  std::vector<base::NodeId> ChooseRelays(const Group& group, std::size_t count);
  base::NodeId Pick(const Group& group, bool any_zone);

  Peer self_;
  base::RandomSource* random_;
  std::unordered_map<base::NodeId, Peer> peers_;
  Group full_;                      // full peers; rebuilt from peers_ after a change
  Group every_;                     // all peers; likewise
  NodesByScope narrow_;             // likewise, narrow peers in ascending order of identifier
  NodesByScope assigned_;           // likewise, the peers in narrow_ that are assigned to this node
  std::uint32_t common_kinds_ = 0;  // of all peers: every peer relays records of these kinds
  RelaySet full_relays_;
  RelaySet every_relays_;
  bool stale_ = false;
};

}  // namespace gaugevalve::dissemination
