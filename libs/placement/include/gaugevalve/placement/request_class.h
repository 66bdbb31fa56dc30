/// @file
/// What a route says of its requests: how urgent they are, and until when an answer is of use.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// Priorities go from 0, the most urgent, to kPriorityCount - 1.
inline constexpr std::size_t kPriorityCount = 8;
/// Of routes that don't say: in the middle, so that others can be put before and behind them.
inline constexpr std::uint8_t kDefaultPriority = 4;

/// Description of a route's requests. A plain value.
struct RequestClass {
  std::uint8_t priority = kDefaultPriority;
  base::Duration target_latency{0};  ///< an answer within it is in time; 0 when not given
  base::Duration time_limit{0};      ///< the caller gives up after it; 0 when not given

  friend bool operator==(const RequestClass&, const RequestClass&) = default;
};

/// The classes of one service by priority. Where routes of a priority differ, the shorter target
/// and the longer time limit count: the first puts a request in order, the second drops it.
class RequestClassTable {
 public:
  RequestClassTable() = default;
  explicit RequestClassTable(std::span<const RequestClass> classes);

  /// Returns the class of a priority; one without times where no route has it.
  const RequestClass& Of(std::uint8_t priority) const { return m_classes[priority]; }
  bool IsEmpty() const { return m_is_empty; }

 private:
  std::array<RequestClass, kPriorityCount> m_classes{};
  bool m_is_empty = true;
};

/// A number of requests for each priority.
using PriorityCounts = std::array<std::uint32_t, kPriorityCount>;

/// Returns how many of the requests are less urgent than `priority`.
std::uint32_t CountLessUrgent(const PriorityCounts& counts, std::uint8_t priority);

}  // namespace gaugevalve::placement
