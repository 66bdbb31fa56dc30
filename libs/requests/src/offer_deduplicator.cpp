#include "gaugevalve/requests/offer_deduplicator.h"

#include <algorithm>

namespace gaugevalve::requests {

OfferDeduplicator::OfferDeduplicator(std::size_t numbers_per_origin, std::size_t origins)
    : numbers_per_origin_(numbers_per_origin), origin_capacity_(origins) {}

bool OfferDeduplicator::IsOldIncarnation(const HandOverId& id) const {
  const auto found = origins_.find(id.origin);
  return found != origins_.end() && id.origin_incarnation < found->second.incarnation;
}

OfferHistory OfferDeduplicator::Find(const HandOverId& id) const {
  const auto found = origins_.find(id.origin);
  if (found == origins_.end()) {
    return id.origin_incarnation > newest_evicted_ ? OfferHistory::kNew : OfferHistory::kEnded;
  }
  const Origin& origin = found->second;
  if (id.origin_incarnation < origin.incarnation) {
    return OfferHistory::kOldIncarnation;
  }
  if (id.origin_incarnation > origin.incarnation) {
    return OfferHistory::kNew;
  }
  const auto ended = origin.ended.find(id.number);
  if (ended != origin.ended.end()) {
    return ended->second ? OfferHistory::kRefused : OfferHistory::kEnded;
  }
  return id.number <= origin.ended_through ? OfferHistory::kEnded : OfferHistory::kNew;
}

void OfferDeduplicator::NoteIncarnation(base::NodeId node, base::Incarnation incarnation) {
  const auto found = origins_.find(node);
  if (found != origins_.end()) {
    if (incarnation > found->second.incarnation) {
      found->second = {incarnation, 0, {}};
    }
    return;
  }
  if (incarnation <= newest_evicted_) {
    return;
  }
  origins_[node] = {incarnation, 0, {}};
  if (origins_.size() > origin_capacity_) {
    EvictOldestOrigin();
  }
}

void OfferDeduplicator::RecordEnded(const HandOverId& id, bool was_refused) {
  NoteIncarnation(id.origin, id.origin_incarnation);
  const auto found = origins_.find(id.origin);
  if (found == origins_.end() || found->second.incarnation != id.origin_incarnation) {
    return;
  }
  Origin& origin = found->second;
  if (id.number <= origin.ended_through) {
    return;
  }
  origin.ended.try_emplace(id.number, was_refused);
  while (origin.ended.size() > numbers_per_origin_) {
    origin.ended_through = origin.ended.begin()->first;
    origin.ended.erase(origin.ended.begin());
  }
}

void OfferDeduplicator::EvictOldestOrigin() {
  const auto oldest =
      std::min_element(origins_.begin(), origins_.end(), [](const auto& left, const auto& right) {
        return left.second.incarnation < right.second.incarnation;
      });
  newest_evicted_ = std::max(newest_evicted_, oldest->second.incarnation);
  origins_.erase(oldest);
}

}  // namespace gaugevalve::requests
