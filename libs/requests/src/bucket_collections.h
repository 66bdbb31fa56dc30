// The collection of what other agents know of buckets that this agent came to own; private to the
// library.
#pragma once

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/requests/execution_record.h"
#include "gaugevalve/routing/table_version.h"

namespace gaugevalve::requests {

// A query to one agent: its records of the bucket with keys after this one.
struct CollectionQuery {
  base::NodeId destination;
  base::BucketIndex bucket;
  routing::TableVersion version;
  KeyDigest after;
};

// What an answer came to.
enum class CollectionProgress {
  kUnexpected,  // not an answer to what was asked last
  kMore,        // the agent has more; ask on
  kAnswered,    // the agent is done, others aren't
  kSettled,     // everyone has answered: the bucket may be decided on
};

// One page of one agent's answer.
struct CollectionPage {
  base::NodeId sender;
  base::BucketIndex bucket;
  routing::TableVersion version;
  KeyDigest after;     // as asked
  KeyDigest last_key;  // of the page; `after` where it is empty
  bool more = false;
};

// Bounded by the buckets of a table times the agents of a service. Not thread-safe.
class BucketCollections {
 public:
  explicit BucketCollections(base::Duration resend_interval) : resend_interval_(resend_interval) {}

  // This agent owns the bucket at this version: all `others` must answer before it is settled. Does
  // nothing for the version that it was called with last. Returns whether it is settled at once.
  bool Require(base::BucketIndex bucket, const routing::TableVersion& version,
               const std::vector<base::NodeId>& others, base::TimePoint now);

  // This agent doesn't own the bucket.
  void Drop(base::BucketIndex bucket) { collections_.erase(bucket); }

  // Agents that are not among `others` any more don't answer: nothing is expected of them. Returns
  // whether that settled a bucket.
  bool DropAgentsNotIn(const std::vector<base::NodeId>& others);

  bool IsSettled(base::BucketIndex bucket, const routing::TableVersion& version) const;

  // Returns whether every required bucket is settled.
  bool AllSettled() const;

  // Takes a page; unless it is unexpected, the caller takes in its records before it decides.
  CollectionProgress AddPage(const CollectionPage& page);

  // Returns the queries that are due, again where no answer came.
  std::vector<CollectionQuery> TakeDue(base::TimePoint now);

 private:
  struct Collection {
    routing::TableVersion version;
    absl::flat_hash_map<base::NodeId, KeyDigest> cursors;  // of those yet to answer in full
    base::TimePoint query_at{};
  };

  base::Duration resend_interval_;
  absl::flat_hash_map<base::BucketIndex, Collection> collections_;
};

}  // namespace gaugevalve::requests
