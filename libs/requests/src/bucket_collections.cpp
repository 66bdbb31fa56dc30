#include "bucket_collections.h"

#include <algorithm>

namespace gaugevalve::requests {

bool BucketCollections::Require(base::BucketIndex bucket, const routing::TableVersion& version,
                                const std::vector<base::NodeId>& others, base::TimePoint now) {
  const auto present = collections_.find(bucket);
  if (present != collections_.end() && present->second.version == version) {
    return false;
  }
  Collection collection{version, {}, now};
  for (const base::NodeId other : others) {
    collection.cursors[other] = KeyDigest{};
  }
  collections_[bucket] = collection;
  return others.empty();
}

bool BucketCollections::DropAgentsNotIn(const std::vector<base::NodeId>& others) {
  bool any_settled = false;
  for (auto& [bucket, collection] : collections_) {
    const std::size_t dropped = absl::erase_if(collection.cursors, [&](const auto& cursor) {
      return std::find(others.begin(), others.end(), cursor.first) == others.end();
    });
    any_settled = any_settled || (dropped > 0 && collection.cursors.empty());
  }
  return any_settled;
}

bool BucketCollections::IsSettled(base::BucketIndex bucket,
                                  const routing::TableVersion& version) const {
  const auto found = collections_.find(bucket);
  return found != collections_.end() && found->second.version == version &&
         found->second.cursors.empty();
}

bool BucketCollections::AllSettled() const {
  return std::all_of(collections_.begin(), collections_.end(),
                     [](const auto& entry) { return entry.second.cursors.empty(); });
}

CollectionProgress BucketCollections::AddPage(const CollectionPage& page) {
  const auto found = collections_.find(page.bucket);
  if (found == collections_.end() || found->second.version != page.version) {
    return CollectionProgress::kUnexpected;
  }
  Collection& collection = found->second;
  const auto cursor = collection.cursors.find(page.sender);
  if (cursor == collection.cursors.end() || cursor->second != page.after) {
    return CollectionProgress::kUnexpected;
  }
  if (page.more && page.last_key > page.after) {
    cursor->second = page.last_key;
    collection.query_at = base::TimePoint();  // immediately
    return CollectionProgress::kMore;
  }
  collection.cursors.erase(cursor);
  return collection.cursors.empty() ? CollectionProgress::kSettled : CollectionProgress::kAnswered;
}

std::vector<CollectionQuery> BucketCollections::TakeDue(base::TimePoint now) {
  std::vector<CollectionQuery> queries;
  for (auto& [bucket, collection] : collections_) {
    if (collection.cursors.empty() || now < collection.query_at) {
      continue;
    }
    collection.query_at = now + resend_interval_;
    for (const auto& [destination, after] : collection.cursors) {
      queries.push_back({destination, bucket, collection.version, after});
    }
  }
  return queries;
}

}  // namespace gaugevalve::requests
