#include "gaugevalve/placement/request_queue.h"

#include <algorithm>

namespace gaugevalve::placement {
namespace {

// A request is expected to meet its target if at least this many usual answer times are left.
constexpr int kAnswerTimeMargin = 2;

}  // namespace

std::optional<FlowKey> RequestQueue::Add(const FlowKey& flow, std::uint8_t priority,
                                         base::TimePoint now) {
  if (Has(flow)) {
    return std::nullopt;
  }
  const auto known = static_cast<std::uint8_t>(std::min<std::size_t>(priority, kPriorityCount - 1));
  std::optional<FlowKey> displaced;
  if (m_waiting.size() >= kLimit) {
    const std::size_t least_urgent = LeastUrgent();
    if (m_waiting[least_urgent].priority <= known) {
      return flow;
    }
    displaced = TakeAt(least_urgent);
  }
  m_waiting.push_back({flow, known, now});
  ++m_counts[known];
  return displaced;
}

// Returns the index of the oldest request of the least urgent priority. The queue must not be
// empty.
std::size_t RequestQueue::LeastUrgent() const {
  const auto least_urgent =
      std::max_element(m_waiting.begin(), m_waiting.end(),
                       [](const WaitingRequest& left, const WaitingRequest& right) {
                         return left.priority < right.priority;
                       });
  return static_cast<std::size_t>(least_urgent - m_waiting.begin());
}

bool RequestQueue::Has(const FlowKey& flow) const {
  return std::any_of(m_waiting.begin(), m_waiting.end(),
                     [&](const WaitingRequest& request) { return request.flow == flow; });
}

bool RequestQueue::Remove(const FlowKey& flow) {
  const auto found =
      std::find_if(m_waiting.begin(), m_waiting.end(),
                   [&](const WaitingRequest& request) { return request.flow == flow; });
  if (found == m_waiting.end()) {
    return false;
  }
  TakeAt(static_cast<std::size_t>(found - m_waiting.begin()));
  return true;
}

FlowKey RequestQueue::TakeAt(std::size_t index) {
  const WaitingRequest request = m_waiting[index];
  --m_counts[request.priority];
  m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
  return request.flow;
}

// Returns whether the request meets its target if its answer arrives after `wait`. The caller
// doubles the usual answer time in `wait` to cover its spread and the network latency, which are
// unknown here.
bool RequestQueue::CanMeetTarget(const WaitingRequest& request, base::Duration wait,
                                 base::TimePoint now) const {
  const base::Duration target = m_classes.Of(request.priority).target_latency;
  return target.count() == 0 || now - request.since + wait <= target;
}

std::size_t RequestQueue::NextOf(std::uint8_t priority, const EndpointServiceRate& rate,
                                 base::TimePoint now) const {
  const base::Duration answer_margin = rate.answer_time * kAnswerTimeMargin;
  std::vector<std::size_t> all;
  std::vector<std::size_t> can_meet;
  for (std::size_t index = 0; index < m_waiting.size(); ++index) {
    if (m_waiting[index].priority == priority) {
      all.push_back(index);
      if (CanMeetTarget(m_waiting[index], answer_margin, now)) {
        can_meet.push_back(index);
      }
    }
  }
  if (can_meet.empty()) {
    return all.front();
  }
  const base::Duration queue_wait =
      rate.answer_time * static_cast<std::int64_t>(can_meet.size() - 1) / std::max(1U, rate.slots);
  const bool all_can = CanMeetTarget(m_waiting[can_meet.back()], answer_margin + queue_wait, now);
  return all_can ? can_meet.front() : can_meet.back();
}

std::optional<FlowKey> RequestQueue::TakeNext(const EndpointServiceRate& rate,
                                              base::TimePoint now) {
  if (m_waiting.empty()) {
    return std::nullopt;
  }
  ++m_taken;
  const auto most_urgent =
      std::min_element(m_waiting.begin(), m_waiting.end(),
                       [](const WaitingRequest& left, const WaitingRequest& right) {
                         return left.priority < right.priority;
                       });
  const bool is_least_urgent_turn = m_taken % kLeastUrgentInterval == 0;
  const std::uint8_t priority =
      is_least_urgent_turn ? m_waiting[LeastUrgent()].priority : most_urgent->priority;
  return TakeAt(NextOf(priority, rate, now));
}

std::vector<FlowKey> RequestQueue::TakeExpired(base::TimePoint now) {
  std::vector<FlowKey> expired;
  for (const WaitingRequest& request : m_waiting) {
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
  for (const WaitingRequest& request : m_waiting) {
    flows.push_back(request.flow);
  }
  m_waiting.clear();
  m_counts = {};
  return flows;
}

}  // namespace gaugevalve::placement
