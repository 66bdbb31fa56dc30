// BalancerCore's part that gives new flows to endpoints: the least loaded of those that a flow
// prefers, and what becomes of an opening that comes back or gets no answer.
#include <algorithm>
#include <vector>

#include "balancer_decision.h"
#include "gaugevalve/placement/balancer_core.h"
#include "gaugevalve/placement/flow_hash.h"
#include "gaugevalve/placement/flow_preference.h"

namespace gaugevalve::placement {
namespace {

// A request that would wait for longer than this part of its target latency is refused at once.
constexpr int kWaitPercent = 60;
// After this many full endpoints, the least loaded by their reports, the others are likely full
// too.
constexpr std::size_t kMostBusyTries = 7;
// Endpoints that an opening is offered to although they are full, one after the other.
constexpr unsigned kMostForcedTries = 3;
// The part of openings that try an ejected endpoint, while there is one. Most are given back, which
// costs them a millisecond or two. Chosen so that an endpoint of a busy service gets a trial within
// a second or so; no other part was measured.
constexpr double kTrialPart = 0.05;
// For so long a balancer gives nothing to a cold endpoint that has just returned an opening. Its
// agent counts over a second, so that much of a second's part is free again by then; chosen, not
// measured against other pauses.
constexpr base::Duration kWarmUpPause = std::chrono::milliseconds(100);
// Copies that come later than this after an opening are its client's, which waited 200 ms for an
// answer; others were doubled on their way.
constexpr base::Duration kCopyTime = std::chrono::milliseconds(150);

// How long a new request of the priority would wait at an endpoint all of whose slots are in use.
base::Duration ExpectedWait(const KnownAgent& agent, std::uint8_t priority) {
  const EndpointLoad& load = agent.report.load;
  const std::uint32_t behind = std::min(load.busy, CountLessUrgent(load.queued, priority));
  const std::uint32_t busy = load.busy - behind + agent.placed_since_report;
  const std::uint32_t capacity = std::max(1U, load.capacity);
  const std::uint32_t ahead = busy < capacity ? 0 : busy - capacity + 1;
  return load.answer_time * ahead / capacity;
}

// Whether a new request on the route is likely to be answered in time at a full endpoint.
bool IsWorthWaiting(const KnownAgent& agent, const Route& route) {
  const base::Duration expected =
      ExpectedWait(agent, route.request_class.priority) + agent.report.load.answer_time;
  const base::Duration target = route.request_class.target_latency;
  return target.count() == 0 || expected < target * kWaitPercent / 100;
}

// The number of requests at an endpoint from which on a new one would come too late; see
// IsWorthWaiting().
std::uint8_t BusyLimit(const KnownAgent& agent, const Route& route) {
  const EndpointLoad& load = agent.report.load;
  const base::Duration target = route.request_class.target_latency;
  if (target.count() == 0 || load.answer_time.count() <= 0) {
    return 0;
  }
  const std::int64_t capacity = std::max(1U, load.capacity);
  const base::Duration longest = target * kWaitPercent / 100 - load.answer_time;
  const std::int64_t ahead = std::max<std::int64_t>(0, longest * capacity / load.answer_time);
  return static_cast<std::uint8_t>(
      std::clamp<std::int64_t>(capacity + ahead, 1, ForwardHeader::kLargestLimit));
}

}  // namespace

BalancerDecision BalancerCore::OnOpening(const FlowPacket& packet, base::TimePoint now) {
  const Route* route = m_routes.Find(packet.flow.destination);
  if (route == nullptr) {
    return Reset(BalancerReason::kNoRoute, packet);
  }
  FlowRecord& record = *Remember(packet.flow);
  record.last_packet = now;
  if (record.opening_sequence != packet.sequence) {
    record = {};
    record.last_packet = now;
    record.opening_sequence = packet.sequence;
  }
  record.priority = route->request_class.priority;
  const KnownAgent* agent = m_agents.Find(record.agent);
  const bool is_copy = agent != nullptr && agent->report.service == record.service;
  const bool is_lost = is_copy && IsOpeningLost(*agent, record, now);
  const bool is_alive = is_copy && !is_lost && IsResponsive(*agent, now) && TakesNewFlows(*agent);
  if (is_copy && (record.is_open || is_alive)) {
    return ForwardTo(record, BalancerReason::kRemembered, 0);
  }
  if (is_lost) {
    AddOnce(record.refused, record.agent);
  }
  return Place(packet, *route, record, 0, now);
}

// Whether the agent that got the opening seems to have gone: its client sends a copy since nobody
// answered, and the agent hasn't been heard since either. Should the endpoint have taken the
// opening after all, the client goes on with whoever answers first, which a search finds.
bool BalancerCore::IsOpeningLost(const KnownAgent& agent, const FlowRecord& record,
                                 base::TimePoint now) {
  const bool is_unheard = agent.unanswered_since && *agent.unanswered_since <= record.held_since;
  return is_unheard && record.forced == 0 && now - record.held_since >= kCopyTime;
}

BalancerDecision BalancerCore::Place(const FlowPacket& packet, const Route& route,
                                     FlowRecord& record, std::uint8_t attempt,
                                     base::TimePoint now) {
  const std::uint64_t flow_hash = FlowHash(packet.flow);
  if (record.service == base::ServiceId()) {
    record.service = route.Choose(flow_hash);
  }
  const std::vector<KnownAgent*> untried =
      FirstForFlow(flow_hash, Candidates(record, record.refused, now));
  KnownAgent* chosen =
      record.busy.size() < kMostBusyTries ? m_chooser.Choose(untried, now) : nullptr;
  if (chosen == nullptr) {
    return PlaceBusy(packet, route, record, attempt, now);
  }
  KnownAgent* trial = attempt == 0 ? TakeTrial(record, now) : nullptr;
  chosen = trial != nullptr ? trial : chosen;
  record.agent = chosen->address;
  record.held_since = now;
  chosen->placed_since_report += 1;
  AgentDirectory::NoteOpening(*chosen, now);
  chosen->placed_share += 1.0 / std::max(1U, chosen->report.load.capacity);
  return ForwardTo(record, BalancerReason::kPlaced, attempt);
}

std::vector<KnownAgent*> BalancerCore::Candidates(const FlowRecord& record,
                                                  const std::vector<base::SocketAddress>& without,
                                                  base::TimePoint now) {
  std::vector<KnownAgent*> fresh;
  std::vector<KnownAgent*> stale;
  std::vector<KnownAgent*> named;
  for (KnownAgent* agent : m_agents.OfService(record.service)) {
    if (Contains(without, agent->address) || now < agent->passed_over_until) {
      continue;
    }
    if (agent->is_only_listed) {
      named.push_back(agent);
    } else if (TakesNewFlows(*agent) && !agent->report.is_ejected) {
      (IsResponsive(*agent, now) ? fresh : stale).push_back(agent);
    }
  }
  // The few agents heard first can't carry what all of them do: a young balancer also uses those
  // that others named. An agent whose endpoint takes no flows gives the opening back, but one that
  // is as young may not know yet that its zone, which isn't known here, is evacuated.
  const bool may_use_named = m_evacuated.zones.empty() && IsLearning(now);
  if (named.size() > fresh.size() && may_use_named) {
    fresh.insert(fresh.end(), named.begin(), named.end());
  }
  return fresh.empty() ? stale : fresh;
}

// A cold endpoint has got what it bears: others are asked at once, and it gets no more for a while.
void BalancerCore::PassOver(const base::SocketAddress& address, base::TimePoint now) {
  KnownAgent* agent = m_agents.Find(address);
  if (agent != nullptr) {
    agent->passed_over_until = now + kWarmUpPause;
  }
}

// The least loaded endpoints were full: the one with the shortest queue has to take the flow, if
// that is worth it. What comes back from it is final.
BalancerDecision BalancerCore::PlaceBusy(const FlowPacket& packet, const Route& route,
                                         FlowRecord& record, std::uint8_t attempt,
                                         base::TimePoint now) {
  std::vector<base::SocketAddress> unable;
  for (const base::SocketAddress& address : record.refused) {
    if (!Contains(record.busy, address)) {
      unable.push_back(address);
    }
  }
  KnownAgent* best = nullptr;
  if (!record.busy.empty()) {
    for (KnownAgent* agent : Candidates(record, unable, now)) {
      const std::uint8_t priority = route.request_class.priority;
      const bool is_better =
          best == nullptr || ExpectedWait(*agent, priority) < ExpectedWait(*best, priority);
      best = is_better ? agent : best;
    }
  }
  if (best != nullptr && IsWorthWaiting(*best, route)) {
    return ForwardForGood(*best, route, record, attempt, now);
  }
  // An endpoint that fails some requests is better than none.
  KnownAgent* ejected = m_chooser.Choose(Ejected(record, now), now);
  if (ejected != nullptr && IsWorthWaiting(*ejected, route)) {
    return ForwardForGood(*ejected, route, record, attempt, now);
  }
  const bool had_any = !record.refused.empty();
  m_flows.erase(packet.flow);
  if (best == nullptr && IsLearning(now)) {
    return Drop(BalancerReason::kNotSure);
  }
  return Reset(had_any ? BalancerReason::kAllRefused : BalancerReason::kNoEndpoint, packet);
}

// Passes an opening to an agent that has to take it, unless its queue, which only it knows exactly,
// has become too long meanwhile.
BalancerDecision BalancerCore::ForwardForGood(KnownAgent& agent, const Route& route,
                                              FlowRecord& record, std::uint8_t attempt,
                                              base::TimePoint now) {
  ++record.forced;
  record.agent = agent.address;
  record.held_since = now;
  agent.placed_since_report += 1;
  AgentDirectory::NoteOpening(agent, now);
  BalancerDecision decision = ForwardTo(record, BalancerReason::kPlaced, attempt);
  decision.header.must_accept = true;
  decision.header.busy_limit = BusyLimit(agent, route);
  return decision;
}

// An endpoint whose queue had grown too long is passed over for the next one; any other return of
// an opening that had to be accepted is final.
BalancerDecision BalancerCore::OnForcedReturn(const FlowPacket& packet, const Route& route,
                                              FlowRecord& record, const ForwardHeader& header,
                                              base::TimePoint now) {
  if (header.reason == ReturnReason::kBusy && record.forced < kMostForcedTries) {
    std::erase(record.busy, record.agent);  // it is refused for good now
    return PlaceBusy(packet, route, record, static_cast<std::uint8_t>(header.attempt + 1), now);
  }
  m_flows.erase(packet.flow);
  return Reset(BalancerReason::kAllRefused, packet);
}

// The agents whose endpoints fail requests, that were heard lately and haven't refused the flow.
std::vector<KnownAgent*> BalancerCore::Ejected(const FlowRecord& record, base::TimePoint now) {
  std::vector<KnownAgent*> ejected;
  for (KnownAgent* agent : m_agents.OfService(record.service)) {
    const bool is_ejected = agent->report.is_ejected && TakesNewFlows(*agent);
    if (is_ejected && IsResponsive(*agent, now) && !Contains(record.refused, agent->address)) {
      ejected.push_back(agent);
    }
  }
  return ejected;
}

// Now and then an opening goes to an ejected endpoint, whose agent takes one at a time as a trial
// and gives the others back.
KnownAgent* BalancerCore::TakeTrial(const FlowRecord& record, base::TimePoint now) {
  const std::vector<KnownAgent*> ejected = Ejected(record, now);
  if (ejected.empty() || m_random.NextUnit() >= kTrialPart) {
    return nullptr;
  }
  return ejected[m_random.NextBelow(ejected.size())];
}

}  // namespace gaugevalve::placement
