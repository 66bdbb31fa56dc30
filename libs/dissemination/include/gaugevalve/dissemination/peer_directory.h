// The peers a node may talk to, and the choice among them.
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

// A live peer as membership knows it.
struct Peer {
  base::NodeId node;
  std::string zone;
  Interest interest;

  friend bool operator==(const Peer&, const Peer&) = default;
};

// Holds the live peers (the caller bounds their number) and picks random ones, mostly in the own
// zone, so that most bytes stay near while every zone still hears from others. Not thread-safe.
class PeerDirectory {
 public:
  // `random` must outlive this object. `self` is never among the peers.
  PeerDirectory(Peer self, base::RandomSource& random) : self_(std::move(self)), random_(&random) {}

  // Adds a peer or replaces what is known of it.
  void Upsert(const Peer& peer);

  // Forgets a peer that left or died.
  void Remove(base::NodeId node);

  // Returns the peer, or null.
  const Peer* Find(base::NodeId node) const;

  // Returns the peers that this node tells of new records of this key: for records of common kinds
  // any peers, otherwise such that hold everything. Up to `count` different ones, the last of them
  // from any zone. They stay the same for a while, so that what is due at one time shares messages.
  const std::vector<base::NodeId>& Relays(const RecordKey& key, std::size_t count,
                                          base::TimePoint now);

  // Returns a random peer that holds everything, or node 0 when there is none. One in four is from
  // any zone, the others from the own zone where it has one.
  base::NodeId ChooseFullPeer();

  // Returns up to `limit` peers that want this key for its scope alone.
  std::vector<base::NodeId> PeersOfScope(const RecordKey& key, std::size_t limit);

  // Returns those of them that this node tells of the key's records whoever is the author: each
  // narrow peer has kAssignedNodesPerPeer such nodes, the first ones that hold everything after it
  // on a hash ring. So the work of telling all narrow peers is spread evenly, and all nodes agree
  // on it.
  std::vector<base::NodeId> AssignedPeersOfScope(const RecordKey& key);

  std::size_t PeerCount() const { return peers_.size(); }
  std::size_t FullPeerCount();

 private:
  // A peer that hears of news from two nodes misses it only when both messages are lost.
  static constexpr std::size_t kAssignedNodesPerPeer = 2;

  struct Group {
    std::vector<base::NodeId> near;  // own zone
    std::vector<base::NodeId> all;   // every zone, the own one too
  };

  // Relays chosen for a while.
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
  Group full_;                      // rebuilt from peers_ when it changed
  Group every_;                     // likewise
  NodesByScope narrow_;             // likewise, narrow peers by rising identifier
  NodesByScope assigned_;           // likewise, those of narrow_ that this node feeds
  std::uint32_t common_kinds_ = 0;  // of all peers: these kinds are relayed by every peer
  RelaySet full_relays_;
  RelaySet every_relays_;
  bool stale_ = false;
};

}  // namespace gaugevalve::dissemination
