// Collection of records from other agents for the buckets that this agent has come to own; private
// to the library.
#pragma once

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/requests/execution_record.h"
#include "gaugevalve/routing/table_version.h"

namespace gaugevalve::requests {

// A query to one agent for its records of the bucket with keys greater than `after`.
struct CollectionQuery {
  base::NodeId destination;
  base::BucketIndex bucket;
  routing::TableVersion version;
  KeyDigest after;
};

// Result of a page.
enum class CollectionProgress {
  kUnexpected,  // does not answer the last query
  kMore,        // the agent has more records; query it again
  kAnswered,    // the agent has sent all its records, other agents have not
  kSettled,     // all agents have answered: keys of the bucket may be decided
};

// One page of an agent's records.
struct CollectionPage {
  base::NodeId sender;
  base::BucketIndex bucket;
  routing::TableVersion version;
  KeyDigest after;     // as in the query
  KeyDigest last_key;  // largest key of the page; `after` if the page is empty
  bool more = false;
};

// Tracks the collection per bucket. A bucket is settled once every other agent has sent all its
// records of it. Bounded by the number of buckets times the number of agents of the service. Not
// thread-safe.
class BucketCollections {
 public:
  explicit BucketCollections(base::Duration resend_interval) : resend_interval_(resend_interval) {}

  // Starts collecting for a bucket that this agent owns at this version: it is settled once all
  // `others` have answered. Does nothing if the version is the same as in the last call. Returns
  // whether the bucket is settled immediately.
  bool Require(base::BucketIndex bucket, const routing::TableVersion& version,
               const std::vector<base::NodeId>& others, base::TimePoint now);

  // Stops collecting for a bucket that this agent does not own.
  void Drop(base::BucketIndex bucket) { collections_.erase(bucket); }

  // Stops waiting for agents that are not in `others`. Returns whether that settled a bucket.
  bool DropAgentsNotIn(const std::vector<base::NodeId>& others);

  bool IsSettled(base::BucketIndex bucket, const routing::TableVersion& version) const;

  // Returns whether every required bucket is settled.
  bool AllSettled() const;

  // Processes a page. Unless the result is kUnexpected, the caller must merge the page's records
  // before it decides on keys.
  CollectionProgress AddPage(const CollectionPage& page);

  // Returns the queries that are due, including repetitions of unanswered ones.
  std::vector<CollectionQuery> TakeDue(base::TimePoint now);

 private:
  struct Collection {
    routing::TableVersion version;
    absl::flat_hash_map<base::NodeId, KeyDigest> cursors;  // of agents with records left to send
    base::TimePoint query_at{};
  };

  base::Duration resend_interval_;
  absl::flat_hash_map<base::BucketIndex, Collection> collections_;
};

}  // namespace gaugevalve::requests
