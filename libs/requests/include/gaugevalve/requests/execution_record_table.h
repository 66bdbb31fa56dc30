// An agent's bounded memory of idempotency keys.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/requests/execution_record.h"

namespace gaugevalve::requests {

// Records by key. A record is forgotten when it is older than the window, never before: when the
// table is full a new one is refused, so what is remembered is known. Not thread-safe.
class ExecutionRecordTable {
 public:
  // `window` is how long a key is remembered; `capacity` the most records held.
  ExecutionRecordTable(base::Duration window, std::size_t capacity);

  // Returns the record, or null when none is held. Valid until the next call that adds or expires.
  ExecutionRecord* Find(const KeyDigest& key);

  // Adds or replaces the record of a key. Returns false, changing nothing, when the table is full.
  bool Put(const ExecutionRecord& record);

  // Forgets what is older than the window.
  void Expire(base::TimePoint now);

  // Calls `change` with each record; it may change all but the key and the age.
  template <class Change>
  void ForEach(const Change& change) {
    for (auto& [key, record] : records_) {
      change(record);
    }
  }

  // Returns copies of the records for which `wanted` returns true.
  template <class Predicate>
  std::vector<ExecutionRecord> Select(const Predicate& wanted) const {
    std::vector<ExecutionRecord> selected;
    for (const auto& [key, record] : records_) {
      if (wanted(record)) {
        selected.push_back(record);
      }
    }
    return selected;
  }

  std::size_t Size() const { return records_.size(); }
  base::Duration Window() const { return window_; }

 private:
  // When a key was first recorded; older entries of a re-recorded key are passed over.
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
