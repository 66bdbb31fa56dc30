// The flows that an agent has open: a bounded table with idle expiry.
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

// Names an open flow, in [0, capacity). Used again for another flow once this one is closed.
using FlowId = base::StrongId<struct FlowIdTag, std::uint32_t>;

// Limits of the table.
struct FlowTableSettings {
  std::size_t capacity = 2000;  // flows at once; more are refused
  base::Duration idle_timeout = std::chrono::minutes(5);
};

// Holds at most `capacity` flows; when full it refuses and keeps what it has, since an open flow is
// worth more than a new one. Memory is taken for the largest capacity so far. Pure and not
// thread-safe.
class FlowTable {
 public:
  explicit FlowTable(const FlowTableSettings& settings);

  // Goes by other limits from now on. With more flows open than the new capacity all stay open.
  void SetLimits(const FlowTableSettings& settings);

  // Returns the open flow with this key.
  std::optional<FlowId> Find(const wire::FlowKey& key) const;

  // Opens a flow, which must not be open, under the bucket entry of version `confirmed`; nothing
  // when the table is full.
  std::optional<FlowId> Open(const wire::FlowKey& key, base::BucketIndex bucket,
                             const routing::TableVersion& confirmed, base::TimePoint now);

  // Notes that the flow was used at `now`, which mustn't be before an earlier use.
  void Touch(FlowId flow, base::TimePoint now);

  // Closes an open flow.
  void Close(FlowId flow);

  // Closes the flows that haven't been used for the idle timeout and returns them.
  std::vector<FlowId> CloseIdle(base::TimePoint now);

  // Facts about an open flow.
  const wire::FlowKey& Key(FlowId flow) const { return entries_[flow.value()].key; }
  base::BucketIndex Bucket(FlowId flow) const { return entries_[flow.value()].bucket; }

  // The version of the bucket's entry under which the flow was last known to be only here.
  const routing::TableVersion& Confirmed(FlowId flow) const {
    return entries_[flow.value()].confirmed;
  }
  void SetConfirmed(FlowId flow, const routing::TableVersion& version) {
    entries_[flow.value()].confirmed = version;
  }

  // Returns how many flows are open, in all and in each of the first `bucket_count` buckets.
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
