/// @file
/// Priority and time limits that a route gives to its requests.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// Priorities range from 0, the most urgent, to kPriorityCount - 1.
inline constexpr std::size_t kPriorityCount = 8;
/// Priority of routes that don't set one. It is in the middle of the range, so that other routes
/// can be given higher or lower priority.
inline constexpr std::uint8_t kDefaultPriority = 4;

/// Properties of a route's requests, as a plain value.
struct RequestClass {
  std::uint8_t priority = kDefaultPriority;
  base::Duration target_latency{0};  ///< target time to the answer; 0 if not set
  base::Duration time_limit{0};      ///< time after which the caller gives up; 0 if not set

  friend bool operator==(const RequestClass&, const RequestClass&) = default;
};

/// The classes of one service by priority. If routes of the same priority differ, the shorter
/// target latency and the longer time limit apply, because the target orders requests and the limit
/// drops them.
class RequestClassTable {
 public:
  RequestClassTable() = default;
  explicit RequestClassTable(std::span<const RequestClass> classes);

  /// Returns the class of a priority; a class without times if no route has this priority.
  const RequestClass& Of(std::uint8_t priority) const { return m_classes[priority]; }
  bool IsEmpty() const { return m_is_empty; }

 private:
  std::array<RequestClass, kPriorityCount> m_classes{};
  bool m_is_empty = true;
};

/// Number of requests for each priority.
using PriorityCounts = std::array<std::uint32_t, kPriorityCount>;

/// Returns the number of requests that are less urgent than `priority`.
std::uint32_t CountLessUrgent(const PriorityCounts& counts, std::uint8_t priority);

}  // namespace gaugevalve::placement
