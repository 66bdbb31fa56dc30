// Flow cache of a conventional balancer, for the Maglev baseline.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/identifiers.h"

namespace gaugevalve::routing {

// Maps flows to the agents that they were sent to. When the cache is full, the least recently used
// flow is evicted. Not thread-safe.
class FlowCache {
 public:
  // `capacity` is above 0.
  explicit FlowCache(std::size_t capacity) : capacity_(capacity) {}

  // Returns the agent of the flow and marks the flow as used.
  std::optional<base::NodeId> Find(std::uint64_t flow_key_hash);

  void Insert(std::uint64_t flow_key_hash, base::NodeId agent);

  void Erase(std::uint64_t flow_key_hash);

 private:
  struct Entry {
    std::uint64_t flow_key_hash;
    base::NodeId agent;
  };
  using EntryList = std::list<Entry>;

  std::size_t capacity_;
  EntryList entries_;  // most recently used first
  absl::flat_hash_map<std::uint64_t, EntryList::iterator> by_flow_;
};

}  // namespace gaugevalve::routing
