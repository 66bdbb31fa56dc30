// What an agent remembers of hand-overs that have ended with it, so that a late repeat of an offer
// is not taken for a new one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/requests/hand_over_id.h"

namespace gaugevalve::requests {

// What is known of an offer's number.
enum class OfferHistory : std::uint8_t {
  kNew,             // surely never taken here
  kEnded,           // taken and ended here, or no longer told from such
  kRefused,         // refused here before anything of it ran
  kOldIncarnation,  // by a life of its origin that a newer one has replaced
};

// Remembers the newest life of each origin and, of that, the last numbers that ended. A number
// below all that are remembered counts as ended. When there are too many origins, the one with the
// oldest life is forgotten, and from then on origins unknown here whose life is no newer than a
// forgotten one's have all their offers counted as ended. Not thread-safe.
class OfferDeduplicator {
 public:
  // `numbers_per_origin` and `origins` bound the memory; both must be above 0.
  OfferDeduplicator(std::size_t numbers_per_origin, std::size_t origins);

  OfferHistory Find(const HandOverId& id) const;

  // Remembers that the hand-over ended here, also one that was closed before it was offered.
  void RecordEnded(const HandOverId& id, bool was_refused);

  // Returns whether a newer life of the hand-over's origin is known.
  bool IsOldIncarnation(const HandOverId& id) const;

  // Notes that this life of a node exists.
  void NoteIncarnation(base::NodeId node, base::Incarnation incarnation);

  std::size_t OriginCount() const { return origins_.size(); }

 private:
  struct Origin {
    base::Incarnation incarnation;
    std::uint64_t ended_through = 0;      // this number and all below count as ended
    std::map<std::uint64_t, bool> ended;  // by number, whether refused
  };

  void EvictOldestOrigin();

  std::size_t numbers_per_origin_;
  std::size_t origin_capacity_;
  base::Incarnation newest_evicted_;  // the newest life that was forgotten
  absl::flat_hash_map<base::NodeId, Origin> origins_;
};

}  // namespace gaugevalve::requests
