#include "gaugevalve/placement/request_class.h"

#include <algorithm>
#include <numeric>

namespace gaugevalve::placement {
namespace {

// The shorter of two times, of which 0 is none.
base::Duration Shorter(base::Duration left, base::Duration right) {
  const bool has_both = left.count() > 0 && right.count() > 0;
  return has_both ? std::min(left, right) : std::max(left, right);
}

}  // namespace

RequestClassTable::RequestClassTable(std::span<const RequestClass> classes)
    : m_is_empty(classes.empty()) {
  for (const RequestClass& item : classes) {
    RequestClass& known = m_classes[std::min<std::size_t>(item.priority, kPriorityCount - 1)];
    known.target_latency = Shorter(known.target_latency, item.target_latency);
    known.time_limit = std::max(known.time_limit, item.time_limit);
  }
}

std::uint32_t CountLessUrgent(const PriorityCounts& counts, std::uint8_t priority) {
  const auto first = counts.begin() + std::min<std::ptrdiff_t>(priority + 1, kPriorityCount);
  return std::accumulate(first, counts.end(), 0U);
}

}  // namespace gaugevalve::placement
