// Record of the hand-overs that have ended at an agent, so that a late repetition of an offer is
// not treated as a new one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/requests/hand_over_id.h"

namespace gaugevalve::requests {

// State of the number of an offer.
enum class OfferHistory : std::uint8_t {
  kNew,             // certainly not accepted here before
  kEnded,           // accepted and ended here, or indistinguishable from that
  kRefused,         // refused here before any of it ran
  kOldIncarnation,  // from an incarnation of its origin that a newer one has replaced
};

// Stores the newest incarnation of each origin and the highest numbers of it that ended. A number
// below all stored ones counts as ended. When there are too many origins, the one with the oldest
// incarnation is evicted. From then on, all offers of an unknown origin count as ended if its
// incarnation is not newer than an evicted one. Not thread-safe.
class OfferDeduplicator {
 public:
  // `numbers_per_origin` and `origins` bound the memory; both must be greater than 0.
  OfferDeduplicator(std::size_t numbers_per_origin, std::size_t origins);

  OfferHistory Find(const HandOverId& id) const;

  // Records that the hand-over ended here, including one that was closed before its offer arrived.
  void RecordEnded(const HandOverId& id, bool was_refused);

  // Returns whether a newer incarnation of the hand-over's origin is known.
  bool IsOldIncarnation(const HandOverId& id) const;

  // Notes that this incarnation of a node exists.
  void NoteIncarnation(base::NodeId node, base::Incarnation incarnation);

  std::size_t OriginCount() const { return origins_.size(); }

 private:
  struct Origin {
    base::Incarnation incarnation;
    std::uint64_t ended_through = 0;      // this number and all lower ones count as ended
    std::map<std::uint64_t, bool> ended;  // by number; true if refused
  };

  void EvictOldestOrigin();

  std::size_t numbers_per_origin_;
  std::size_t origin_capacity_;
  base::Incarnation newest_evicted_;  // newest incarnation that was evicted
  absl::flat_hash_map<base::NodeId, Origin> origins_;
};

}  // namespace gaugevalve::requests
