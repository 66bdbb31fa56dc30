// AgentCore's part that decides when requests on open flows reach the endpoint.
#include <algorithm>
#include <utility>

#include "gaugevalve/placement/agent_core.h"

namespace gaugevalve::placement {
namespace {

// Requests at the endpoint beyond its slots, which it serves in the order in which they came: one,
// which it begins with while the agent learns of the answer before it. Whoever is more urgent waits
// for no more than that.
constexpr std::uint32_t kAhead = 1;
// A request that is given no answer for so many times the usual time, or for this long, doesn't
// occupy a slot as far as others are concerned: the endpoint may have dropped it, or hang on it.
constexpr int kStuckFactor = 10;
constexpr base::Duration kStuckTime = std::chrono::milliseconds(500);
// A request with more data than this is still on its way for most of the time until its answer.
constexpr std::uint32_t kLargeRequest = 4'800;  // bytes: four full packets

}  // namespace

// Whether the packet begins a request that the endpoint has no room for, or belongs to one that
// waits.
bool AgentCore::MustWait(const FlowRecord& record, const FlowPacket& packet,
                         const ForwardHeader& header) const {
  const bool is_on = m_settings.queues_requests && !m_queue.Classes().IsEmpty();
  // A packet that looks for its flow's holder tells its balancer nothing while it waits.
  if (!is_on || packet.data_size == 0 || packet.is_reset || header.has_route) {
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

// Where the queue is full of requests that are as urgent, the packet is dropped: its sender sends
// it again. The endpoint could only put it before those that wait.
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

// Requests that occupy the endpoint's slots and queue.
std::uint32_t AgentCore::AtEndpoint() const {
  const std::uint32_t aside = m_large + m_stuck;
  return m_waiting > aside ? m_waiting - aside : 0;
}

// Whether the endpoint may be given one more request.
bool AgentCore::HasRoom() const { return AtEndpoint() < Slots() + kAhead; }

// Where the endpoint isn't the one that holds the flows any more, or the agent ends, what waits is
// passed on as if it hadn't waited.
bool AgentCore::PassesAll(base::TimePoint now) const {
  return m_is_stopping || m_queued_for != m_gate.Newest().incarnation ||
         m_gate.Standing(now) == EndpointStanding::kAbsent;
}

QueueRelease AgentCore::TakeReleased(base::TimePoint now) {
  QueueRelease release;
  if (m_queue.Size() > 0 && PassesAll(now)) {
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

// The request's packets are dropped. If its caller still wants the answer it sends them again, and
// they are as new.
void AgentCore::Abandon(const FlowKey& flow, base::TimePoint now) {
  const auto found = m_flows.find(flow);
  if (found != m_flows.end()) {
    SetState(found->second, FlowState::kIdle, now);
  }
}

// How many requests a new one of this priority would find before it.
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
  const base::Duration limit = std::max<base::Duration>(kStuckTime, m_answer_time * kStuckFactor);
  const bool is_over = record.state == FlowState::kWaiting && now - record.since > limit;
  if (is_over && !record.is_stuck && !record.is_large) {
    record.is_stuck = true;
    ++m_stuck;
  }
}

}  // namespace gaugevalve::placement
