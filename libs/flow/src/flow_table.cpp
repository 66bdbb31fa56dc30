#include "gaugevalve/flow/flow_table.h"

namespace gaugevalve::flow {

FlowTable::FlowTable(const FlowTableSettings& settings) { SetLimits(settings); }

void FlowTable::SetLimits(const FlowTableSettings& settings) {
  settings_ = settings;
  const std::size_t before = entries_.size();
  if (settings.capacity <= before) {
    return;
  }
  entries_.resize(settings.capacity);
  free_.reserve(settings.capacity);
  for (std::size_t index = settings.capacity; index > before; --index) {
    free_.push_back(static_cast<std::uint32_t>(index - 1));
  }
  by_key_.reserve(settings.capacity);
}

std::optional<FlowId> FlowTable::Find(const wire::FlowKey& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? std::nullopt : std::optional(FlowId(found->second));
}

std::optional<FlowId> FlowTable::Open(const wire::FlowKey& key, base::BucketIndex bucket,
                                      const routing::TableVersion& confirmed, base::TimePoint now) {
  if (by_key_.size() >= settings_.capacity) {
    return std::nullopt;
  }
  const std::uint32_t index = free_.back();
  free_.pop_back();
  entries_[index] = Entry{key, bucket, confirmed, now, kNone, kNone};
  by_key_.emplace(key, index);
  Link(index);
  return FlowId(index);
}

void FlowTable::Touch(FlowId flow, base::TimePoint now) {
  Unlink(flow.value());
  entries_[flow.value()].last_used = now;
  Link(flow.value());
}

void FlowTable::Close(FlowId flow) {
  Unlink(flow.value());
  by_key_.erase(entries_[flow.value()].key);
  free_.push_back(flow.value());
}

std::vector<FlowId> FlowTable::CloseIdle(base::TimePoint now) {
  std::vector<FlowId> closed;
  while (oldest_ != kNone && now - entries_[oldest_].last_used >= settings_.idle_timeout) {
    closed.emplace_back(oldest_);
    Close(closed.back());
  }
  return closed;
}

std::vector<std::uint32_t> FlowTable::CountByBucket(std::size_t bucket_count) const {
  std::vector<std::uint32_t> counts(bucket_count, 0);
  for (const auto& [key, index] : by_key_) {
    ++counts[entries_[index].bucket.value()];
  }
  return counts;
}

void FlowTable::Link(std::uint32_t index) {
  Entry& entry = entries_[index];
  entry.previous = newest_;
  entry.next = kNone;
  (newest_ == kNone ? oldest_ : entries_[newest_].next) = index;
  newest_ = index;
}

void FlowTable::Unlink(std::uint32_t index) {
  const Entry& entry = entries_[index];
  (entry.previous == kNone ? oldest_ : entries_[entry.previous].next) = entry.next;
  (entry.next == kNone ? newest_ : entries_[entry.next].previous) = entry.previous;
}

}  // namespace gaugevalve::flow
