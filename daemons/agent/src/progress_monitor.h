// Which of many things make no progress.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "gaugevalve/base/time.h"

namespace gaugevalve::agent {

// Decision core: compares counts from call to call. `Key` names what is counted and has an order.
// Not thread-safe.
template <class Key>
class ProgressMonitor {
 public:
  // What makes no progress for so long is stalled: many times a round trip, and the loss timers of
  // a peer that lives.
  static constexpr base::Duration kStallTime = std::chrono::seconds(5);

  // One thing under way, and how far it is.
  struct Item {
    Key key;
    std::uint64_t count = 0;
  };

  // Returns what has become stalled since the last call, each once for each stall. What isn't among
  // `items` is forgotten.
  std::vector<Key> TakeStalled(const std::vector<Item>& items, base::TimePoint now) {
    std::vector<Key> stalled;
    std::map<Key, Progress> present;
    for (const Item& item : items) {
      const auto former = progress_.find(item.key);
      const bool is_same = former != progress_.end() && former->second.count == item.count;
      Progress progress = is_same ? former->second : Progress{item.count, now, false};
      if (!progress.is_told && now - progress.since >= kStallTime) {
        progress.is_told = true;
        stalled.push_back(item.key);
      }
      present[item.key] = progress;
    }
    progress_ = std::move(present);
    return stalled;
  }

 private:
  struct Progress {
    std::uint64_t count = 0;
    base::TimePoint since{};
    bool is_told = false;
  };

  std::map<Key, Progress> progress_;  // of the last call
};

}  // namespace gaugevalve::agent
