// The part of AgentCore that decides when requests on open flows are sent to the endpoint.
#include <algorithm>
#include <utility>

#include "gaugevalve/placement/agent_core.h"

namespace gaugevalve::placement {
namespace {

// Number of requests sent to the endpoint beyond its slots. The endpoint serves requests in order
// of arrival, and starts this one while the agent is still receiving the previous answer. A more
// urgent request is delayed by no more than this one.
constexpr std::uint32_t kEndpointBacklog = 1;
// A request that has waited for its answer for this multiple of the usual time, and at least this
// long, no longer counts as occupying a slot: the endpoint may have dropped it or be stuck in it.
constexpr int kStuckFactor = 10;
constexpr base::Duration kStuckTimeout = std::chrono::milliseconds(500);
// Transfer of a request with more data than this takes most of the time until its answer.
constexpr std::uint32_t kLargeRequest = 4'800;  // bytes: four full packets

}  // namespace

// Returns whether the packet begins a request for which the endpoint has no free slot, or belongs
// to a request that is already queued.
bool AgentCore::ShouldQueue(const FlowRecord& record, const FlowPacket& packet,
                            const ForwardHeader& header) const {
  const bool is_enabled = m_settings.queues_requests && !m_queue.Classes().IsEmpty();
  // A packet that searches for its flow's holder must not wait, because its balancer gets no result
  // meanwhile.
  if (!is_enabled || packet.data_size == 0 || packet.is_reset || header.has_route) {
    return false;
  }
  if (record.state == FlowState::kQueued) {
    return true;
  }
  const std::uint32_t end = packet.sequence + packet.data_size;
  const bool is_new = !record.has_client_end || IsAfterByte(end, record.client_end);
  const bool begins = is_new && record.state != FlowState::kWaiting;
  const bool is_open = record.is_held && !record.client_closed && !record.endpoint_closed;
  return begins && is_open && !m_is_stopping && !HasRoom();
}

// If the queue is full of requests that are at least as urgent, the packet is dropped and the
// client retransmits it. The endpoint could only serve it ahead of the queued requests.
AgentDecision AgentCore::Enqueue(FlowRecord& record, const FlowPacket& packet,
                                 const ForwardHeader& header, const base::SocketAddress& balancer,
                                 base::TimePoint now) {
  record.last_packet = now;
  record.acknowledged = packet.acknowledged;
  record.has_acknowledged = packet.is_acknowledging;
  const std::optional<FlowKey> dropped_on_full_queue =
      m_queue.Add(packet.flow, header.priority, now);
  m_queue_counters.dropped_on_full_queue += dropped_on_full_queue ? 1 : 0;
  if (dropped_on_full_queue == packet.flow) {
    return {};
  }
  if (dropped_on_full_queue) {
    m_displaced.push_back(*dropped_on_full_queue);
    Abandon(*dropped_on_full_queue, now);
  }
  const std::uint32_t end = packet.sequence + packet.data_size;
  if (record.state != FlowState::kQueued) {
    SetState(record, FlowState::kQueued, now);
    record.queued_end = end;
    ++m_queue_counters.queued;
  } else if (IsAfterByte(end, record.queued_end)) {
    record.queued_end = end;
  }
  AgentDecision decision;
  decision.verdict = AgentVerdict::kQueue;
  decision.mark = MarkFor(balancer, header.attempt);
  return decision;
}

// Returns the number of requests that occupy the endpoint's slots and queue.
std::uint32_t AgentCore::AtEndpoint() const {
  const std::uint32_t excluded = m_large + m_stuck;
  return m_waiting > excluded ? m_waiting - excluded : 0;
}

// Returns whether the endpoint may be sent one more request.
bool AgentCore::HasRoom() const { return AtEndpoint() < Slots() + kEndpointBacklog; }

// Returns whether all queued requests are to be sent on without further delay, because the
// endpoint's incarnation has changed, the endpoint is absent, or the agent is stopping.
bool AgentCore::MustReleaseAll(base::TimePoint now) const {
  return m_is_stopping || m_queued_for != m_gate.Newest().incarnation ||
         m_gate.Standing(now) == EndpointStanding::kAbsent;
}

QueueRelease AgentCore::TakeReleased(base::TimePoint now) {
  QueueRelease release;
  if (m_queue.Size() > 0 && MustReleaseAll(now)) {
    release.passed = m_queue.TakeAll();
  }
  m_queued_for = m_gate.Newest().incarnation;
  release.dropped = m_queue.TakeExpired(now);
  m_queue_counters.given_up += release.dropped.size();
  for (const FlowKey& flow : release.dropped) {
    Abandon(flow, now);
  }
  release.dropped.insert(release.dropped.end(), m_displaced.begin(), m_displaced.end());
  m_displaced.clear();
  for (const FlowKey& flow : release.passed) {
    Release(flow, now);
  }
  while (HasRoom()) {
    const std::optional<FlowKey> next = m_queue.TakeNext({m_answer_time, Slots()}, now);
    if (!next) {
      break;
    }
    Release(*next, now);
    release.passed.push_back(*next);
  }
  return release;
}

void AgentCore::Release(const FlowKey& flow, base::TimePoint now) {
  const auto found = m_flows.find(flow);
  if (found == m_flows.end()) {
    return;
  }
  FlowRecord& record = found->second;
  record.request_begin = record.client_end;
  record.client_end = record.queued_end;
  record.has_client_end = true;
  SetState(record, FlowState::kWaiting, now);
}

// Drops the queued request. If the caller still needs the answer it retransmits the packets, which
// are then treated as a new request.
void AgentCore::Abandon(const FlowKey& flow, base::TimePoint now) {
  const auto found = m_flows.find(flow);
  if (found != m_flows.end()) {
    SetState(found->second, FlowState::kIdle, now);
  }
}

// Returns how many requests would be served before a new one of this priority.
std::uint32_t AgentCore::BusyFor(std::uint8_t priority) const {
  return Busy() - std::min(Busy(), CountLessUrgent(m_queue.Counts(), priority));
}

void AgentCore::NoteRequestSize(FlowRecord& record) {
  const bool is_large = record.client_end - record.request_begin > kLargeRequest;
  if (record.state == FlowState::kWaiting && is_large && !record.is_large && !record.is_stuck) {
    record.is_large = true;
    ++m_large;
  }
}

void AgentCore::NoteStuck(FlowRecord& record, base::TimePoint now) {
  const base::Duration limit =
      std::max<base::Duration>(kStuckTimeout, m_answer_time * kStuckFactor);
  const bool is_over = record.state == FlowState::kWaiting && now - record.since > limit;
  if (is_over && !record.is_stuck && !record.is_large) {
    record.is_stuck = true;
    ++m_stuck;
  }
}

}  // namespace gaugevalve::placement
