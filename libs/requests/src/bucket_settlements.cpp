#include "bucket_settlements.h"

#include <algorithm>

namespace gaugevalve::requests {

bool BucketSettlements::Require(base::BucketIndex bucket, const routing::TableVersion& version,
                                const std::vector<base::NodeId>& others, base::TimePoint now) {
  const auto present = settlements_.find(bucket);
  if (present != settlements_.end() && present->second.version == version) {
    return false;
  }
  Settlement settlement{version, {}, now};
  for (const base::NodeId other : others) {
    settlement.cursors[other] = KeyDigest{};
  }
  settlements_[bucket] = settlement;
  return others.empty();
}

bool BucketSettlements::DropAgentsNotIn(const std::vector<base::NodeId>& others) {
  bool any_settled = false;
  for (auto& [bucket, settlement] : settlements_) {
    const std::size_t dropped = absl::erase_if(settlement.cursors, [&](const auto& cursor) {
      return std::find(others.begin(), others.end(), cursor.first) == others.end();
    });
    any_settled = any_settled || (dropped > 0 && settlement.cursors.empty());
  }
  return any_settled;
}

bool BucketSettlements::IsSettled(base::BucketIndex bucket,
                                  const routing::TableVersion& version) const {
  const auto found = settlements_.find(bucket);
  return found != settlements_.end() && found->second.version == version &&
         found->second.cursors.empty();
}

bool BucketSettlements::AllSettled() const {
  return std::all_of(settlements_.begin(), settlements_.end(),
                     [](const auto& entry) { return entry.second.cursors.empty(); });
}

CollectionProgress BucketSettlements::TakePage(const CollectionPage& page) {
  const auto found = settlements_.find(page.bucket);
  if (found == settlements_.end() || found->second.version != page.version) {
    return CollectionProgress::kUnexpected;
  }
  Settlement& settlement = found->second;
  const auto cursor = settlement.cursors.find(page.sender);
  if (cursor == settlement.cursors.end() || cursor->second != page.after) {
    return CollectionProgress::kUnexpected;
  }
  if (page.more && page.last_key > page.after) {
    cursor->second = page.last_key;
    settlement.ask_at = base::TimePoint();  // at once
    return CollectionProgress::kMore;
  }
  settlement.cursors.erase(cursor);
  return settlement.cursors.empty() ? CollectionProgress::kSettled : CollectionProgress::kAnswered;
}

std::vector<CollectionQuestion> BucketSettlements::TakeDue(base::TimePoint now) {
  std::vector<CollectionQuestion> questions;
  for (auto& [bucket, settlement] : settlements_) {
    if (settlement.cursors.empty() || now < settlement.ask_at) {
      continue;
    }
    settlement.ask_at = now + resend_interval_;
    for (const auto& [destination, after] : settlement.cursors) {
      questions.push_back({destination, bucket, settlement.version, after});
    }
  }
  return questions;
}

}  // namespace gaugevalve::requests
