// Bounded table of the idempotency keys that an agent remembers.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/requests/execution_record.h"

namespace gaugevalve::requests {

// Execution records by key. A record expires only when it is older than the window. When the table
// is full, new records are refused and none is evicted, so the table is complete for its window.
// Not thread-safe.
class ExecutionRecordTable {
 public:
  // `window` is how long a key is remembered; `capacity` is the maximum number of records.
  ExecutionRecordTable(base::Duration window, std::size_t capacity);

  // Returns the record, or null if there is none. The pointer is valid until the next Put() or
  // Expire().
  ExecutionRecord* Find(const KeyDigest& key);

  // Adds or replaces the record of a key. Returns false, changing nothing, when the table is full.
  bool Put(const ExecutionRecord& record);

  // Removes records that are older than the window.
  void Expire(base::TimePoint now);

  // Calls `change` with each record. It may modify everything except the key and first_recorded_at.
  template <class Change>
  void ForEach(const Change& change) {
    for (auto& [key, record] : records_) {
      change(record);
    }
  }

  // Returns copies of the records for which `predicate` returns true.
  template <class Predicate>
  std::vector<ExecutionRecord> Select(const Predicate& predicate) const {
    std::vector<ExecutionRecord> selected;
    for (const auto& [key, record] : records_) {
      if (predicate(record)) {
        selected.push_back(record);
      }
    }
    return selected;
  }

  std::size_t Size() const { return records_.size(); }
  base::Duration Window() const { return window_; }

 private:
  // Time at which a key was first recorded. Outdated entries of a key that was recorded again are
  // skipped.
  struct Age {
    base::TimePoint recorded_at;
    KeyDigest key;
  };

  base::Duration window_;
  std::size_t capacity_;
  absl::flat_hash_map<KeyDigest, ExecutionRecord> records_;
  std::deque<Age> by_age_;
};

}  // namespace gaugevalve::requests
