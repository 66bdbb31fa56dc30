// Open flows of an agent: a bounded table with idle expiry.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/strong_id.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/table_version.h"
#include "gaugevalve/wire/flow_key.h"

namespace gaugevalve::flow {

// Identifier of an open flow, in [0, capacity). Reused for another flow after this one is closed.
using FlowId = base::StrongId<struct FlowIdTag, std::uint32_t>;

// Limits of the table.
struct FlowTableSettings {
  std::size_t capacity = 2000;  // concurrent flows; more are refused
  base::Duration idle_timeout = std::chrono::minutes(5);
};

// Holds at most `capacity` flows. When full it refuses new flows and keeps the open ones, because
// an open flow is worth more than a new one. Memory is allocated for the largest capacity so far.
// No I/O; not thread-safe.
class FlowTable {
 public:
  explicit FlowTable(const FlowTableSettings& settings);

  // Applies new limits. If more flows are open than the new capacity allows, all stay open.
  void SetLimits(const FlowTableSettings& settings);

  // Returns the open flow with this key, if there is one.
  std::optional<FlowId> Find(const wire::FlowKey& key) const;

  // Opens a flow, which must not be open, under the bucket entry of version `confirmed`. Returns
  // nothing if the table is full.
  std::optional<FlowId> Open(const wire::FlowKey& key, base::BucketIndex bucket,
                             const routing::TableVersion& confirmed, base::TimePoint now);

  // Records that the flow was used at `now`, which must not be before an earlier use.
  void Touch(FlowId flow, base::TimePoint now);

  // Closes an open flow.
  void Close(FlowId flow);

  // Closes the flows that have not been used for the idle timeout and returns them.
  std::vector<FlowId> CloseIdle(base::TimePoint now);

  // Properties of an open flow.
  const wire::FlowKey& Key(FlowId flow) const { return entries_[flow.value()].key; }
  base::BucketIndex Bucket(FlowId flow) const { return entries_[flow.value()].bucket; }

  // Version of the bucket's entry under which the flow was last known to be open only here.
  const routing::TableVersion& Confirmed(FlowId flow) const {
    return entries_[flow.value()].confirmed;
  }
  void SetConfirmed(FlowId flow, const routing::TableVersion& version) {
    entries_[flow.value()].confirmed = version;
  }

  // Number of open flows, in total and in each of the first `bucket_count` buckets.
  std::size_t Size() const { return by_key_.size(); }
  std::vector<std::uint32_t> CountByBucket(std::size_t bucket_count) const;

 private:
  static constexpr std::uint32_t kNone = UINT32_MAX;

  // Entries are linked from the least to the most recently used.
  struct Entry {
    wire::FlowKey key;
    base::BucketIndex bucket;
    routing::TableVersion confirmed;
    base::TimePoint last_used{};
    std::uint32_t previous = kNone;
    std::uint32_t next = kNone;
  };

  void Link(std::uint32_t index);
  void Unlink(std::uint32_t index);

  FlowTableSettings settings_;
  std::vector<Entry> entries_;       // index = FlowId
  std::vector<std::uint32_t> free_;  // indexes of closed entries
  absl::flat_hash_map<wire::FlowKey, std::uint32_t> by_key_;
  std::uint32_t oldest_ = kNone;
  std::uint32_t newest_ = kNone;
};

}  // namespace gaugevalve::flow
