// Detects items that make no progress.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "gaugevalve/base/time.h"

namespace gaugevalve::agent {

// Compares the items' counts between calls; does no I/O. `Key` identifies an item and must be
// ordered. Not thread-safe.
template <class Key>
class ProgressMonitor {
 public:
  // An item without progress for this time is stalled. It is many times the round-trip time and the
  // loss timers of a live peer.
  static constexpr base::Duration kStallTime = std::chrono::seconds(5);

  // An item and its progress.
  struct Item {
    Key key;
    std::uint64_t count = 0;
  };

  // Returns the items that have become stalled since the last call. Each stall is returned once.
  // Items missing from `items` are no longer tracked.
  std::vector<Key> TakeStalled(const std::vector<Item>& items, base::TimePoint now) {
    std::vector<Key> stalled;
    std::map<Key, Progress> current;
    for (const Item& item : items) {
      const auto previous = progress_.find(item.key);
      const bool is_same = previous != progress_.end() && previous->second.count == item.count;
      Progress progress = is_same ? previous->second : Progress{item.count, now, false};
      if (!progress.is_reported && now - progress.since >= kStallTime) {
        progress.is_reported = true;
        stalled.push_back(item.key);
      }
      current[item.key] = progress;
    }
    progress_ = std::move(current);
    return stalled;
  }

  // Returns for how long the item has made no progress; 0 if the last call of TakeStalled() did not
  // name it.
  base::Duration IdleTime(const Key& key, base::TimePoint now) const {
    const auto found = progress_.find(key);
    return found == progress_.end() ? base::Duration(0) : now - found->second.since;
  }

 private:
  struct Progress {
    std::uint64_t count = 0;
    base::TimePoint since{};
    bool is_reported = false;
  };

  std::map<Key, Progress> progress_;  // as of the last call
};

}  // namespace gaugevalve::agent
