#include "gaugevalve/placement/request_queue.h"

#include <algorithm>

namespace gaugevalve::placement {
namespace {

// A request is taken to be in time if this many usual answer times are left.
constexpr int kSpread = 2;

}  // namespace

std::optional<FlowKey> RequestQueue::Add(const FlowKey& flow, std::uint8_t priority,
                                         base::TimePoint now) {
  if (Has(flow)) {
    return std::nullopt;
  }
  const auto known = static_cast<std::uint8_t>(std::min<std::size_t>(priority, kPriorityCount - 1));
  std::optional<FlowKey> displaced;
  if (m_waiting.size() >= kLimit) {
    const std::size_t least = LeastUrgent();
    if (m_waiting[least].priority <= known) {
      return flow;
    }
    displaced = TakeAt(least);
  }
  m_waiting.push_back({flow, known, now});
  ++m_counts[known];
  return displaced;
}

// The oldest of the least urgent. There must be one.
std::size_t RequestQueue::LeastUrgent() const {
  const auto least = std::max_element(
      m_waiting.begin(), m_waiting.end(),
      [](const Waiting& left, const Waiting& right) { return left.priority < right.priority; });
  return static_cast<std::size_t>(least - m_waiting.begin());
}

bool RequestQueue::Has(const FlowKey& flow) const {
  return std::any_of(m_waiting.begin(), m_waiting.end(),
                     [&](const Waiting& request) { return request.flow == flow; });
}

bool RequestQueue::Remove(const FlowKey& flow) {
  const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                  [&](const Waiting& request) { return request.flow == flow; });
  if (found == m_waiting.end()) {
    return false;
  }
  TakeAt(static_cast<std::size_t>(found - m_waiting.begin()));
  return true;
}

FlowKey RequestQueue::TakeAt(std::size_t index) {
  const Waiting request = m_waiting[index];
  --m_counts[request.priority];
  m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
  return request.flow;
}

// Whether the request is answered in time if it is let through after `wait`, with as long again as
// an answer usually takes for what isn't seen here: the spread of answer times and the ways.
bool RequestQueue::CanBeInTime(const Waiting& request, base::Duration wait,
                               base::TimePoint now) const {
  const base::Duration target = m_classes.Of(request.priority).target_latency;
  return target.count() == 0 || now - request.since + wait <= target;
}

std::size_t RequestQueue::NextOf(std::uint8_t priority, const EndpointServiceRate& pace,
                                 base::TimePoint now) const {
  const base::Duration answer = pace.answer_time * kSpread;
  std::vector<std::size_t> all;
  std::vector<std::size_t> timely;
  for (std::size_t index = 0; index < m_waiting.size(); ++index) {
    if (m_waiting[index].priority == priority) {
      all.push_back(index);
      if (CanBeInTime(m_waiting[index], answer, now)) {
        timely.push_back(index);
      }
    }
  }
  if (timely.empty()) {
    return all.front();
  }
  const base::Duration behind_the_others =
      pace.answer_time * static_cast<std::int64_t>(timely.size() - 1) / std::max(1U, pace.slots);
  const bool all_can = CanBeInTime(m_waiting[timely.back()], answer + behind_the_others, now);
  return all_can ? timely.front() : timely.back();
}

std::optional<FlowKey> RequestQueue::TakeNext(const EndpointServiceRate& pace,
                                              base::TimePoint now) {
  if (m_waiting.empty()) {
    return std::nullopt;
  }
  ++m_taken;
  const auto most = std::min_element(
      m_waiting.begin(), m_waiting.end(),
      [](const Waiting& left, const Waiting& right) { return left.priority < right.priority; });
  const bool is_share = m_taken % kShare == 0;
  const std::uint8_t priority = is_share ? m_waiting[LeastUrgent()].priority : most->priority;
  return TakeAt(NextOf(priority, pace, now));
}

std::vector<FlowKey> RequestQueue::TakeExpired(base::TimePoint now) {
  std::vector<FlowKey> expired;
  for (const Waiting& request : m_waiting) {
    const base::Duration limit = m_classes.Of(request.priority).time_limit;
    if (limit.count() > 0 && now - request.since > limit) {
      expired.push_back(request.flow);
    }
  }
  for (const FlowKey& flow : expired) {
    Remove(flow);
  }
  return expired;
}

std::vector<FlowKey> RequestQueue::TakeAll() {
  std::vector<FlowKey> flows;
  for (const Waiting& request : m_waiting) {
    flows.push_back(request.flow);
  }
  m_waiting.clear();
  m_counts = {};
  return flows;
}

}  // namespace gaugevalve::placement
