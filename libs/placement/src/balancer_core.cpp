#include "gaugevalve/placement/balancer_core.h"

#include <algorithm>
#include <utility>

#include "balancer_decision.h"

namespace gaugevalve::placement {
namespace {

constexpr base::Duration kSweepPeriod = std::chrono::seconds(1);
// Tick() is called several times a second. A longer gap between two calls is taken for a pause.
constexpr base::Duration kMaxTickGap = std::chrono::seconds(1);
// How long a balancer that has just started waits for agents that no node has named, if the
// reported number of agents is larger. That number may be outdated, and by then all but a few
// percent of the live agents have been in some agent's list or have reported themselves.
constexpr base::Duration kUnnamedAgentsTimeout = std::chrono::milliseconds(2000);
// Time after a start or a pause by which all datagrams that waited in the sockets have been read.
constexpr base::Duration kResumeGracePeriod = std::chrono::milliseconds(500);
// A retransmission makes its flow's agent a suspect if the agent has been silent for this long.
// Agents report their load four times a second to the balancers that use them.
constexpr base::Duration kSuspectAfterSilence = std::chrono::milliseconds(300);
// A suspect that does not answer for the silence limit divided by this number no longer counts as
// the holder of a flow. Half the limit is enough: restarted agents were back within 0.57 s after
// planned restarts and 0.85 s after total stops (docs/design/0018, AgentQueries::kRetryPause).
// Each client of a lost flow waits for this time.
constexpr int kSuspectLimitDivisor = 2;

// Returns the number of queries to a suspect in that time.
unsigned SuspectQueries(base::Duration silence_limit) {
  constexpr unsigned kMinQueries = 4;  // some queries or answers may be lost
  const auto count =
      static_cast<unsigned>(silence_limit / kSuspectLimitDivisor / AgentQueries::kRetryPause);
  return std::max(kMinQueries, count);
}

// Added to the configured idle time-out, because those of clients and endpoints may differ from it.
constexpr base::Duration kIdleTimeoutMargin = std::chrono::seconds(3);
// Maximum number of past services stored for a virtual address.
constexpr std::size_t kPastServiceLimit = 8;

}  // namespace

const char* BalancerReasonName(BalancerReason reason) {
  constexpr const char* kNames[kBalancerReasonCount] = {
      "remembered",  "placed",      "searched",     "no_routes", "no_route",        "route_removed",
      "no_endpoint", "all_refused", "held_by_none", "not_sure",  "too_many_passes", "reset"};
  return kNames[static_cast<std::size_t>(reason)];
}

const char* BalancerVerdictName(BalancerVerdict verdict) {
  switch (verdict) {
    case BalancerVerdict::kForward:
      return "forward";
    case BalancerVerdict::kReset:
      return "reset";
    default:
      return "drop";
  }
}

BalancerCore::BalancerCore(BalancerSettings settings, base::RandomSource& random,
                           base::TimePoint now)
    : m_settings(std::move(settings)),
      m_random(random),
      m_agents(m_settings.agent_limit, m_settings.report_lifetime),
      m_suspects(SuspectQueries(m_settings.silence_limit)),
      m_chooser(m_settings.zone, random),
      m_started_at(now),
      m_last_sweep_at(now) {}

bool BalancerCore::SetRoutes(RouteTable routes) {
  if (routes.version <= m_routes.version) {
    return false;
  }
  m_routes = std::move(routes);
  for (const auto& [address, route] : m_routes.routes) {
    NoteServices(route, m_past_services[address]);
  }
  absl::erase_if(m_past_services,
                 [this](const auto& entry) { return m_routes.Find(entry.first) == nullptr; });
  return true;
}

// Moves the route's services to the end of the address's present and past services, and removes
// the oldest past ones beyond the limit.
void BalancerCore::NoteServices(const Route& route, std::vector<base::ServiceId>& services) {
  std::vector<base::ServiceId> present;
  for (const WeightedService& part : route.services) {
    AddOnce(present, part.service);
  }
  std::erase_if(services, [&](base::ServiceId service) { return Contains(present, service); });
  if (services.size() > kPastServiceLimit) {
    services.erase(services.begin(), services.end() - kPastServiceLimit);
  }
  services.insert(services.end(), present.begin(), present.end());
}

void BalancerCore::DetectPause(base::TimePoint now) {
  const base::Duration gap = m_ticked_at ? now - *m_ticked_at : base::Duration(0);
  if (gap <= kMaxTickGap) {
    return;
  }
  m_ticked_at = now;
  m_paused_for += gap;
  m_started_at = now;
  m_has_learned = false;
  m_agents.SkipTime(gap);
  m_suspects.Forget([](const base::SocketAddress&) { return true; });
  m_new_suspects.clear();
}

bool BalancerCore::HasJustResumed(base::TimePoint now) {
  DetectPause(now);
  return now - m_started_at < kResumeGracePeriod;
}

BalancerDecision BalancerCore::OnClientPacket(const FlowPacket& packet, base::TimePoint now) {
  DetectPause(now);
  if (m_routes.version == 0) {
    return Drop(BalancerReason::kNoRoutes);
  }
  return packet.is_opening ? OnOpening(packet, now) : OnLaterPacket(packet, now);
}

BalancerDecision BalancerCore::OnLaterPacket(const FlowPacket& packet, base::TimePoint now) {
  const Route* route = m_routes.Find(packet.flow.destination);
  const auto found = m_flows.find(packet.flow);
  const bool is_known = found != m_flows.end() && found->second.agent != base::SocketAddress();
  if (route == nullptr) {
    // Without a record, a removed route can't be told from one that has not been received yet.
    if (!is_known) {
      return Drop(BalancerReason::kNoRoute);
    }
    m_flows.erase(found);
    return Reset(BalancerReason::kRouteRemoved, packet);
  }
  FlowRecord& record = *FindOrAddRecord(packet.flow);
  record.last_packet = now;
  record.priority = route->request_class.priority;
  MarkOpen(record);
  NoteData(packet, record, now);
  if (is_known && IsSearchLost(record, now)) {
    SuspectRoute(record, now);
    ++record.search_order;
    return Search(packet, *route, record, 0, now);
  }
  if (is_known && !IsGivenUp(record, now)) {
    return ForwardTo(record, BalancerReason::kRemembered, 0);
  }
  if (is_known) {
    AddOnce(record.refused, record.agent);
    record.is_confirmed = false;
  } else if (FindSavedHolder(packet.flow, record, now)) {
    return ForwardTo(record, BalancerReason::kRemembered, 0);
  }
  return Search(packet, *route, record, 0, now);
}

// Returns whether the flow's agent is known and no longer counts as a holder of flows.
bool BalancerCore::IsGivenUp(const FlowRecord& record, base::TimePoint now) {
  const KnownAgent* agent = m_agents.Find(record.agent);
  return agent != nullptr && !MayHoldFlows(*agent, now);
}

// Returns whether the agent's endpoint admits new flows and its zone is not evacuated.
bool BalancerCore::AdmitsNewFlows(const KnownAgent& agent) const {
  return agent.report.standing == EndpointStanding::kAdmitting &&
         !m_evacuated.Has(agent.report.zone);
}

bool BalancerCore::IsGone(const base::SocketAddress& agent, base::TimePoint now) {
  const KnownAgent* known = m_agents.Find(agent);
  return known == nullptr || !AgentDirectory::IsPresent(*known) || !MayHoldFlows(*known, now);
}

// Returns whether the agent's report is fresh and no query to it is overdue.
bool BalancerCore::IsResponsive(const KnownAgent& agent, base::TimePoint now) const {
  return m_agents.IsFresh(agent, now) && !m_suspects.IsOverdue(agent.address, now);
}

// Queues a report query to the agent unless it was updated after `since`.
void BalancerCore::Suspect(const KnownAgent& agent, base::TimePoint since, base::TimePoint now) {
  const bool is_silent = !agent.is_only_listed && agent.updated_at <= since;
  if (is_silent && m_suspects.Ask(agent.address, now)) {
    m_new_suspects.push_back(agent.address);
  }
}

// Suspects all agents on the route of a lost search: one of them is lost, but it is unknown which.
void BalancerCore::SuspectRoute(const FlowRecord& record, base::TimePoint now) {
  std::vector<base::SocketAddress> route = record.route;
  route.push_back(record.agent);
  for (const base::SocketAddress& address : route) {
    const KnownAgent* agent = m_agents.Find(address);
    if (agent != nullptr) {
      Suspect(*agent, record.searched_at, now);
    }
  }
}

// Records a packet with data. A client that retransmits data got no answer, so the flow's agent may
// be lost and becomes a suspect if it is silent.
void BalancerCore::NoteData(const FlowPacket& packet, FlowRecord& record, base::TimePoint now) {
  record.acknowledged = packet.acknowledged;
  if (packet.data_size == 0) {
    return;
  }
  record.last_data_at = now;
  const bool is_copy = record.has_data && record.data_sequence == packet.sequence;
  record.has_data = true;
  record.data_sequence = packet.sequence;
  const KnownAgent* agent = is_copy ? m_agents.Find(record.agent) : nullptr;
  if (agent != nullptr) {
    Suspect(*agent, now - kSuspectAfterSilence, now);
  }
}

// Returns whether the open flow's agent counts as lost and the client has sent no data for so long
// that it is not waiting for a response.
bool BalancerCore::IsDead(const FlowKey& flow, const FlowRecord& record, base::TimePoint now) {
  const Route* route = m_routes.Find(flow.destination);
  if (route == nullptr || !record.is_open || record.is_searching || !IsGivenUp(record, now)) {
    return false;
  }
  const base::Duration reset_delay =
      std::max<base::Duration>(route->request_class.time_limit, m_settings.silence_limit / 2);
  return now - record.last_data_at > reset_delay;
}

// Queues resets for flows whose agent counts as lost and whose clients are silent, because requests
// sent on them later would be lost. Flows whose clients send are reset after a search. An agent
// that is only partitioned may count as lost as well: its idle flows are then opened again
// elsewhere, and flows that may await a response are not reset before the time limit.
void BalancerCore::QueueFlowsOfLostAgents(base::TimePoint now) {
  if (IsLearning(now)) {
    return;
  }
  absl::erase_if(m_flows, [&](const auto& entry) {
    const auto& [flow, record] = entry;
    return IsDead(flow, record, now) &&
           m_dead.Add(
               {flow, record.acknowledged, EvidenceOfLostAgent(*m_agents.Find(record.agent), now)});
  });
}

std::vector<base::SocketAddress> BalancerCore::TakeSuspects(base::TimePoint now) {
  std::vector<base::SocketAddress> suspects = m_suspects.TakeDue(now);
  suspects.insert(suspects.end(), m_new_suspects.begin(), m_new_suspects.end());
  m_new_suspects.clear();
  return suspects;
}

void BalancerCore::OnLoad(const base::SocketAddress& address, const LoadNotice& notice,
                          base::TimePoint now) {
  m_suspects.NoteActivity(address);
  m_agents.TakeLoad(address, notice, now);
}

void BalancerCore::MarkOpen(FlowRecord& record) {
  if (!record.is_open) {
    record.is_open = true;
    // An agent that refused the opening may have accepted a retransmission through another
    // balancer.
    record.refused.clear();
    record.busy.clear();
  }
}

ReportOutcome BalancerCore::OnReport(const base::SocketAddress& address, const AgentReport& report,
                                     base::TimePoint now) {
  DetectPause(now);
  m_discovery.NoteReport(address);
  m_suspects.NoteActivity(address);
  m_discovery.NoteAgentCount(report.agent_count);
  const ReportOutcome outcome = m_agents.Take(address, report, now);
  QueueFlowsOfDeadIncarnations(address, now);
  return outcome;
}

bool BalancerCore::NoteListed(const ListedAgent& agent, base::TimePoint now) {
  const KnownAgent* known = m_agents.Find(agent.address);
  if (known != nullptr && !known->is_only_listed) {
    return false;
  }
  m_agents.NoteListed(agent, now);
  return m_discovery.TakeNamed(agent.address, now);
}

bool BalancerCore::IsLearning(base::TimePoint now) {
  if (m_has_learned) {
    return false;
  }
  const base::Duration age = now - m_started_at;
  const base::Duration limit =
      m_discovery.IsWaiting() ? m_settings.silence_limit : kUnnamedAgentsTimeout;
  const bool may_miss_some =
      m_discovery.HasCount() && age < limit && !m_discovery.IsComplete(m_agents.ReportedCount());
  m_has_learned = age >= m_settings.learning_time && !may_miss_some;
  return !m_has_learned;
}

BalancerDecision BalancerCore::ForwardTo(const FlowRecord& record, BalancerReason reason,
                                         std::uint8_t attempt) const {
  BalancerDecision decision;
  decision.verdict = BalancerVerdict::kForward;
  decision.reason = reason;
  decision.agent = record.agent;
  decision.header.kind = MessageKind::kForward;
  decision.header.is_search = record.is_open && !record.is_confirmed;
  decision.header.attempt = attempt;
  decision.header.priority = record.priority;
  decision.header.service = record.service;
  decision.header.routes_version = m_routes.version;
  decision.header.search_round = record.search_round;
  decision.header.has_route = decision.header.is_search && !record.route.empty();
  if (decision.header.has_route) {
    decision.route = record.route;
  }
  return decision;
}

BalancerCore::FlowRecord* BalancerCore::FindOrAddRecord(const FlowKey& flow) {
  const auto found = m_flows.find(flow);
  if (found != m_flows.end()) {
    return &found->second;
  }
  if (m_flows.size() >= m_settings.flow_limit) {
    m_overflow_record = {};  // valid for this packet only
    return &m_overflow_record;
  }
  return &m_flows[flow];
}

void BalancerCore::Tick(base::TimePoint now) {
  DetectPause(now);
  m_ticked_at = now;
  if (now - m_last_sweep_at < kSweepPeriod) {
    return;
  }
  m_last_sweep_at = now;
  const base::Duration idle =
      std::min(m_settings.flow_retention, m_routes.idle_timeout + kIdleTimeoutMargin);
  absl::erase_if(m_flows, [&](const auto& entry) { return now - entry.second.last_packet > idle; });
  QueueFlowsOfLostAgents(now);
  m_recovery.Tick(now);
  m_agents.ForgetSilent(m_settings.flow_retention, now);
  const auto is_gone = [this](const base::SocketAddress& agent) {
    return m_agents.Find(agent) == nullptr;
  };
  m_discovery.Forget(is_gone);
  m_suspects.Forget(is_gone);
}

}  // namespace gaugevalve::placement
