#include "gaugevalve/placement/balancer_core.h"

#include <algorithm>
#include <utility>

#include "balancer_decision.h"

namespace gaugevalve::placement {
namespace {

constexpr base::Duration kSweepPeriod = std::chrono::seconds(1);
// Ticks come several times a second; between two that are further apart the process stood still.
constexpr base::Duration kLongestGap = std::chrono::seconds(1);
// How long a balancer that has just started waits for agents that nobody has named, though there
// are said to be more: the number may be old, and any agent that lives has been in some agent's
// list or had its turn to report by then, but for a few in a hundred.
constexpr base::Duration kUnnamedLimit = std::chrono::milliseconds(2000);
// Datagrams that waited meanwhile have all been read by then.
constexpr base::Duration kWakingTime = std::chrono::milliseconds(500);
// A copy of a packet makes its agent a suspect if it hasn't been heard for so long: those that are
// used tell of their load four times a second.
constexpr base::Duration kQuietTime = std::chrono::milliseconds(300);
// A suspect that answers nothing for this part of the silence limit is no longer taken for the
// holder of a flow. Half: restarted agents were back within 0.57 s, by plan, and 0.85 s after total
// stops (logs, docs/design/0018 and AgentQueries::kRetryPause), and each client
// of a flow that has gone waits for it.
constexpr int kSuspectPart = 2;

// How many questions to a suspect take that long.
unsigned SuspectQuestions(base::Duration silence_limit) {
  constexpr unsigned kLeast = 4;  // some may be lost
  const auto count =
      static_cast<unsigned>(silence_limit / kSuspectPart / AgentQueries::kRetryPause);
  return std::max(kLeast, count);
}

// Added to the idle time-out, by which clients and endpoints may differ.
constexpr base::Duration kIdleSlack = std::chrono::seconds(3);
// Past services that are remembered for an address.
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
      m_suspects(SuspectQuestions(m_settings.silence_limit)),
      m_chooser(m_settings.zone, random),
      m_started_at(now),
      m_swept_at(now) {}

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

// Adds the route's services to those that ever stood behind its address, and forgets the oldest of
// those that no longer do.
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

void BalancerCore::NoticePause(base::TimePoint now) {
  const base::Duration gap = m_ticked_at ? now - *m_ticked_at : base::Duration(0);
  if (gap <= kLongestGap) {
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

bool BalancerCore::HasJustWoken(base::TimePoint now) {
  NoticePause(now);
  return now - m_started_at < kWakingTime;
}

BalancerDecision BalancerCore::OnClientPacket(const FlowPacket& packet, base::TimePoint now) {
  NoticePause(now);
  if (m_routes.version == 0) {
    return Drop(BalancerReason::kNoRoutes);
  }
  return packet.is_opening ? OnOpening(packet, now) : OnLater(packet, now);
}

BalancerDecision BalancerCore::OnLater(const FlowPacket& packet, base::TimePoint now) {
  const Route* route = m_routes.Find(packet.flow.destination);
  const auto found = m_flows.find(packet.flow);
  const bool is_known = found != m_flows.end() && found->second.agent != base::SocketAddress();
  if (route == nullptr) {
    // Without a record there is no telling a removed route from one not heard of yet.
    if (!is_known) {
      return Drop(BalancerReason::kNoRoute);
    }
    m_flows.erase(found);
    return Reset(BalancerReason::kRouteRemoved, packet);
  }
  FlowRecord& record = *Remember(packet.flow);
  record.last_packet = now;
  record.priority = route->request_class.priority;
  NoteOpen(record);
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
  } else if (RecallHolder(packet.flow, record, now)) {
    return ForwardTo(record, BalancerReason::kRemembered, 0);
  }
  return Search(packet, *route, record, 0, now);
}

// Whether the agent that the flow was given to has been silent for too long, or has gone.
bool BalancerCore::IsGivenUp(const FlowRecord& record, base::TimePoint now) {
  const KnownAgent* agent = m_agents.Find(record.agent);
  return agent != nullptr && !MayHoldFlows(*agent, now);
}

// Whether the agent's endpoint admits new flows and its zone isn't evacuated.
bool BalancerCore::TakesNewFlows(const KnownAgent& agent) const {
  return agent.report.standing == EndpointStanding::kAdmitting &&
         !m_evacuated.Has(agent.report.zone);
}

bool BalancerCore::MayHoldFlows(const KnownAgent& agent, base::TimePoint now) const {
  const bool is_unreachable = m_suspects.IsGivenUp(agent.address) ||
                              (agent.is_only_listed && m_discovery.IsGivenUp(agent.address));
  return agent.report.standing != EndpointStanding::kAbsent && !is_unreachable &&
         now - agent.heard_at <= AgentDirectory::SilenceLimit(agent, m_settings.silence_limit);
}

bool BalancerCore::IsGone(const base::SocketAddress& agent, base::TimePoint now) {
  const KnownAgent* known = m_agents.Find(agent);
  return known == nullptr || !AgentDirectory::IsPresent(*known) || !MayHoldFlows(*known, now);
}

// Whether what is known of the agent holds, and it owes no answer.
bool BalancerCore::IsResponsive(const KnownAgent& agent, base::TimePoint now) const {
  return m_agents.IsFresh(agent, now) && !m_suspects.IsOverdue(agent.address, now);
}

// Has the agent asked for a report unless it was heard after `since`.
void BalancerCore::Suspect(const KnownAgent& agent, base::TimePoint since, base::TimePoint now) {
  const bool is_silent = !agent.is_only_listed && agent.heard_at <= since;
  if (is_silent && m_suspects.Ask(agent.address, now)) {
    m_new_suspects.push_back(agent.address);
  }
}

// A search got lost: one of the agents on its way has gone, and it isn't known which.
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

// A client that sends the same data again got no answer: its flow's agent may have gone.
void BalancerCore::NoteData(const FlowPacket& packet, FlowRecord& record, base::TimePoint now) {
  record.acknowledged = packet.acknowledged;
  if (packet.data_size == 0) {
    return;
  }
  record.data_at = now;
  const bool is_copy = record.has_data && record.data_sequence == packet.sequence;
  record.has_data = true;
  record.data_sequence = packet.sequence;
  const KnownAgent* agent = is_copy ? m_agents.Find(record.agent) : nullptr;
  if (agent != nullptr) {
    Suspect(*agent, now - kQuietTime, now);
  }
}

// Whether the flow's agent has gone with its endpoint, and the client waits for nothing.
bool BalancerCore::IsDead(const FlowKey& flow, const FlowRecord& record, base::TimePoint now) {
  const Route* route = m_routes.Find(flow.destination);
  if (route == nullptr || !record.is_open || record.is_searching || !IsGivenUp(record, now)) {
    return false;
  }
  const base::Duration patience =
      std::max<base::Duration>(route->request_class.time_limit, m_settings.silence_limit / 2);
  return now - record.data_at > patience;
}

// Flows whose clients are silent are reset once their agent is given up, as those are whose clients
// send: what is sent on them later would be lost. An agent that is only cut off may be given up as
// well, and then its idle flows are opened anew elsewhere; answers under way are waited for.
void BalancerCore::NoteDeadFlows(base::TimePoint now) {
  if (IsLearning(now)) {
    return;
  }
  absl::erase_if(m_flows, [&](const auto& entry) {
    return IsDead(entry.first, entry.second, now) &&
           m_dead.Add({entry.first, entry.second.acknowledged});
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
  m_suspects.NoteHeard(address);
  m_agents.TakeLoad(address, notice, now);
}

void BalancerCore::NoteOpen(FlowRecord& record) {
  if (!record.is_open) {
    record.is_open = true;
    // Who refused the opening may have taken a copy of it that came another way.
    record.refused.clear();
    record.busy.clear();
  }
}

ReportOutcome BalancerCore::OnReport(const base::SocketAddress& address, const AgentReport& report,
                                     base::TimePoint now) {
  NoticePause(now);
  m_discovery.NoteHeard(address);
  m_suspects.NoteHeard(address);
  m_discovery.NoteAgentCount(report.agent_count);
  const ReportOutcome outcome = m_agents.Take(address, report, now);
  TellDead(address);
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
  const base::Duration limit = m_discovery.IsWaiting() ? m_settings.silence_limit : kUnnamedLimit;
  const bool may_miss_some =
      m_discovery.HasCount() && age < limit && !m_discovery.IsComplete(m_agents.HeardCount());
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

BalancerCore::FlowRecord* BalancerCore::Remember(const FlowKey& flow) {
  const auto found = m_flows.find(flow);
  if (found != m_flows.end()) {
    return &found->second;
  }
  if (m_flows.size() >= m_settings.flow_limit) {
    m_overflow = {};  // forgotten after this packet
    return &m_overflow;
  }
  return &m_flows[flow];
}

void BalancerCore::Tick(base::TimePoint now) {
  NoticePause(now);
  m_ticked_at = now;
  if (now - m_swept_at < kSweepPeriod) {
    return;
  }
  m_swept_at = now;
  const base::Duration idle =
      std::min(m_settings.flow_retention, m_routes.idle_timeout + kIdleSlack);
  absl::erase_if(m_flows, [&](const auto& entry) { return now - entry.second.last_packet > idle; });
  NoteDeadFlows(now);
  m_recovery.Tick(now);
  m_agents.ForgetSilent(m_settings.flow_retention, now);
  const auto is_gone = [this](const base::SocketAddress& agent) {
    return m_agents.Find(agent) == nullptr;
  };
  m_discovery.Forget(is_gone);
  m_suspects.Forget(is_gone);
}

}  // namespace gaugevalve::placement
