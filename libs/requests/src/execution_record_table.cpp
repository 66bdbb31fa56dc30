#include "gaugevalve/requests/execution_record_table.h"

#include <xxhash.h>

namespace gaugevalve::requests {

KeyDigest KeyDigest::Of(base::ServiceId service, std::string_view key) {
  const XXH128_hash_t hash = XXH3_128bits_withSeed(key.data(), key.size(), service.value());
  return {hash.high64, hash.low64};
}

ExecutionRecordTable::ExecutionRecordTable(base::Duration window, std::size_t capacity)
    : window_(window), capacity_(capacity) {}

ExecutionRecord* ExecutionRecordTable::Find(const KeyDigest& key) {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second;
}

bool ExecutionRecordTable::Put(const ExecutionRecord& record) {
  ExecutionRecord* const present = Find(record.key);
  if (present != nullptr) {
    const bool same_age = present->first_recorded_at == record.first_recorded_at;
    *present = record;
    if (!same_age) {
      by_age_.push_back({record.first_recorded_at, record.key});
    }
    return true;
  }
  if (records_.size() >= capacity_) {
    return false;
  }
  records_.emplace(record.key, record);
  by_age_.push_back({record.first_recorded_at, record.key});
  return true;
}

void ExecutionRecordTable::Expire(base::TimePoint now) {
  while (!by_age_.empty() && by_age_.front().recorded_at + window_ < now) {
    const ExecutionRecord* const record = Find(by_age_.front().key);
    if (record != nullptr && record->first_recorded_at + window_ < now) {
      records_.erase(by_age_.front().key);
    }
    by_age_.pop_front();
  }
}

}  // namespace gaugevalve::requests
