// BalancerCore's part that saves its open flows and makes use of what its former life saved.
#include <algorithm>
#include <vector>

#include "balancer_decision.h"
#include "gaugevalve/placement/balancer_core.h"

namespace gaugevalve::placement {
namespace {

// A flow is saved together with the endpoint's incarnation once its agent has reported that so long
// after the flow was opened: an incarnation that had just started by then would have announced
// itself, though it may be seconds late.
constexpr base::Duration kMinHeldTime = std::chrono::seconds(3);

}  // namespace

std::vector<SavedFlow> BalancerCore::MakeSnapshot() {
  struct Open {
    base::TimePoint last_packet;
    SavedFlow saved;
  };
  std::vector<Open> open;
  for (const auto& [flow, record] : m_flows) {
    const KnownAgent* agent = m_agents.Find(record.agent);
    const bool is_usable = record.is_open && !record.is_searching && agent != nullptr &&
                           !agent->report.endpoint.IsEmpty() && !agent->report.wants_memory;
    if (is_usable && agent->reported_at - record.held_since >= kMinHeldTime) {
      const EndpointIncarnation& endpoint = agent->report.endpoint;
      open.push_back(
          {record.last_packet,
           {flow, record.acknowledged, record.agent, EndpointHash(endpoint), endpoint.started_ms}});
    }
  }
  const std::size_t count = std::min(open.size(), kSnapshotLimit);
  std::partial_sort(
      open.begin(), open.begin() + static_cast<std::ptrdiff_t>(count), open.end(),
      [](const Open& left, const Open& right) { return left.last_packet > right.last_packet; });
  std::vector<SavedFlow> flows;
  for (std::size_t index = 0; index < count; ++index) {
    flows.push_back(open[index].saved);
  }
  AddUnseenSavedFlows(flows);
  return flows;
}

// Flows of the former life's snapshot whose clients haven't been heard since are saved again while
// their endpoint lives: a balancer may be restarted shortly before everything stops.
void BalancerCore::AddUnseenSavedFlows(std::vector<SavedFlow>& flows) {
  for (const SavedFlow& saved : m_recovery.Remaining()) {
    const KnownAgent* agent = m_agents.Find(saved.agent);
    const bool lives = agent != nullptr && !agent->report.wants_memory &&
                       EndpointHash(agent->report.endpoint) == saved.endpoint;
    if (lives && !m_flows.contains(saved.flow) && flows.size() < kSnapshotLimit) {
      flows.push_back(saved);
    }
  }
}

void BalancerCore::TakeSnapshot(std::span<const SavedFlow> flows, base::TimePoint now) {
  m_recovery.Take(flows, now);
  for (const KnownAgent* agent : m_agents.All()) {
    QueueFlowsOfDeadIncarnations(agent->address);
  }
}

// Hands out the flows that died with the endpoint beside the agent.
void BalancerCore::QueueFlowsOfDeadIncarnations(const base::SocketAddress& address) {
  const KnownAgent* agent = m_agents.Find(address);
  if (m_recovery.Size() == 0 || agent == nullptr || agent->is_only_listed) {
    return;
  }
  for (const DeadFlow& dead : m_recovery.TakeDead(address, agent->report)) {
    const auto found = m_flows.find(dead.flow);
    const bool is_elsewhere = found != m_flows.end() && found->second.agent != address;
    if (!is_elsewhere && m_dead.Add(dead)) {
      m_flows.erase(dead.flow);
    }
  }
}

// Whether the flow, which the agent's endpoint gave back, is known to have died with the endpoint's
// former incarnation. It is forgotten then.
bool BalancerCore::DiedWithEndpoint(const FlowKey& flow, const base::SocketAddress& agent) {
  const SavedFlow* saved = m_recovery.Find(flow);
  if (saved == nullptr || saved->agent != agent) {
    return false;
  }
  m_recovery.NoteReturn(flow, agent);
  QueueFlowsOfDeadIncarnations(agent);
  return m_recovery.Find(flow) == nullptr;
}

// Whether the agent that held the flow before everything stopped is known; the record names it
// then.
bool BalancerCore::FindSavedHolder(const FlowKey& flow, FlowRecord& record, base::TimePoint now) {
  const SavedFlow* saved = m_recovery.Find(flow);
  const KnownAgent* agent = saved == nullptr ? nullptr : m_agents.Find(saved->agent);
  if (agent == nullptr || !MayHoldFlows(*agent, now)) {
    return false;
  }
  record.agent = agent->address;
  record.service = agent->report.service;
  record.held_since = now;
  return true;
}

}  // namespace gaugevalve::placement
