// BalancerCore's search for the agent whose endpoint holds a flow that the balancer doesn't
// remember.
#include <algorithm>
#include <tuple>
#include <utility>

#include "balancer_decision.h"
#include "gaugevalve/placement/balancer_core.h"
#include "gaugevalve/placement/flow_hash.h"
#include "gaugevalve/placement/flow_preference.h"

namespace gaugevalve::placement {
namespace {

// A packet is passed on at most this often more than there are agents to ask.
constexpr std::size_t kSparePasses = 8;
constexpr std::size_t kMostPasses = 250;
// Agents of services that aren't behind the route and may hold its flows all the same, for all that
// is known: no more are asked for one flow, as a packet can be passed on 255 times. Where there are
// more, a flow that isn't found is left alone instead of reset.
constexpr std::size_t kMostUncertain = 192;
// Clients send again after 200 ms; a search that takes this long has met an agent that has gone.
constexpr base::Duration kSearchTime = std::chrono::milliseconds(150);

}  // namespace

// Whether a search's packet should have found the holder, or come back, by now.
bool BalancerCore::IsSearchLost(const FlowRecord& record, base::TimePoint now) {
  return record.is_searching && !record.is_confirmed && now - record.searched_at > kSearchTime;
}

// Whether the agent's endpoint may hold flows of an address that its service isn't behind any more.
bool MayHoldFlowsOf(const base::SocketAddress& address, const KnownAgent& agent) {
  const HeldAddresses& held = agent.report.held;
  return agent.is_only_listed || held.may_be_more || held.Has(address);
}

// The services that are or were behind the route, as far as this balancer has seen.
std::span<const base::ServiceId> BalancerCore::ServicesOf(const Route& route) const {
  const auto past = m_past_services.find(route.address);
  return past == m_past_services.end() ? std::span<const base::ServiceId>() : past->second;
}

// The agents that may hold a flow of the route.
std::vector<KnownAgent*> BalancerCore::PossibleHolders(const Route& route, base::TimePoint now) {
  std::vector<KnownAgent*> holders;
  for (const base::ServiceId service : ServicesOf(route)) {
    for (KnownAgent* agent : m_agents.OfService(service)) {
      if (MayHoldFlows(*agent, now)) {
        holders.push_back(agent);
      }
    }
  }
  const std::vector<KnownAgent*> others = HoldersOfOtherServices(route, now);
  if (others.size() <= kMostUncertain) {
    holders.insert(holders.end(), others.begin(), others.end());
  }
  return holders;
}

// A configuration may drop a service from a route, and its endpoints keep their flows. A balancer
// that wasn't there then learns of them from their agents.
std::vector<KnownAgent*> BalancerCore::HoldersOfOtherServices(const Route& route,
                                                              base::TimePoint now) {
  std::vector<KnownAgent*> holders = m_agents.OutsideServices(ServicesOf(route));
  std::erase_if(holders, [&](const KnownAgent* agent) {
    return !MayHoldFlowsOf(route.address, *agent) || !MayHoldFlows(*agent, now);
  });
  return holders;
}

// Whether a flow that nobody asked holds may be held by one of those who weren't asked.
bool BalancerCore::MayBeAmongTooMany(const Route& route, base::TimePoint now) {
  return HoldersOfOtherServices(route, now).size() > kMostUncertain;
}

// Orders agents for a search. Those that the flow prefers come first, the own zone's before others,
// and even those of them that were only named: the flow is most likely there. Among the others come
// those of other services late, and last those that seem to be gone. After a search that got lost
// those that were heard since it began come first, as any of the others may be where it ended, and
// each such search takes another order.
void BalancerCore::OrderForSearch(std::vector<KnownAgent*>& agents, const Route& route,
                                  const FlowPacket& packet, const FlowRecord& record,
                                  base::TimePoint now) const {
  enum Rank : std::uint8_t { kHeardSince, kUsual, kOtherService, kSilent };
  struct Place {
    bool is_later_tier;
    Rank rank;
    std::size_t tier;
    bool is_far;
    std::uint64_t hash;
    KnownAgent* agent;
  };
  const std::uint32_t own_zone = ZoneHash(m_settings.zone);
  const std::span<const base::ServiceId> services = ServicesOf(route);
  std::vector<Place> places;
  places.reserve(agents.size());
  for (const RankedAgent& ranked : RankForFlow(FlowHash(packet.flow), agents)) {
    KnownAgent& agent = *ranked.agent;
    const Rank usual = agent.heard_at > record.searched_at ? kHeardSince : kUsual;
    const bool is_of_route = Contains(services, agent.report.service);
    const Rank rank = !IsResponsive(agent, now) ? kSilent : is_of_route ? usual : kOtherService;
    places.push_back({ranked.tier > 0 || !is_of_route, rank, ranked.tier, agent.zone != own_zone,
                      base::HashPair(ranked.hash, record.search_order), &agent});
  }
  std::sort(places.begin(), places.end(), [](const Place& left, const Place& right) {
    const auto key = [](const Place& place) {
      return std::tie(place.is_later_tier, place.rank, place.tier, place.is_far, place.hash);
    };
    return key(left) < key(right);
  });
  std::transform(places.begin(), places.end(), agents.begin(),
                 [](const Place& place) { return place.agent; });
}

BalancerDecision BalancerCore::Search(const FlowPacket& packet, const Route& route,
                                      FlowRecord& record, std::uint8_t attempt,
                                      base::TimePoint now) {
  std::vector<KnownAgent*> order = PossibleHolders(route, now);
  OrderForSearch(order, route, packet, record, now);
  // Afterwards: an agent's place is among all, whoever was asked before.
  std::erase_if(order,
                [&](const KnownAgent* agent) { return Contains(record.refused, agent->address); });
  if (order.empty()) {
    return OnAllRefused(packet, route, record, now);
  }
  record.agent = order.front()->address;
  record.service = order.front()->report.service;
  record.searched_at = now;
  record.is_searching = true;
  ++record.search_round;
  record.route.clear();
  // Agents that may be gone would end the packet's way: they are asked last, one by one.
  for (std::size_t index = 1; index < order.size(); ++index) {
    const KnownAgent& agent = *order[index];
    const bool may_follow = IsResponsive(*order.front(), now) && IsResponsive(agent, now) &&
                            agent.report.standing != EndpointStanding::kStopping &&
                            agent.report.service == record.service;
    if (may_follow && record.route.size() < SearchRoute::kMaxAgents) {
      record.route.push_back(agent.address);
    }
  }
  return ForwardTo(record, BalancerReason::kSearched, attempt);
}

BalancerDecision BalancerCore::OnAllRefused(const FlowPacket& packet, const Route& route,
                                            FlowRecord& record, base::TimePoint now) {
  const bool is_sure =
      !record.refused.empty() && !IsLearning(now) && !MayBeAmongTooMany(route, now);
  m_flows.erase(packet.flow);  // the next packet starts anew
  if (packet.is_reset) {
    return Drop(BalancerReason::kReset);
  }
  return is_sure ? Reset(BalancerReason::kHeldByNone, packet) : Drop(BalancerReason::kNotSure);
}

BalancerDecision BalancerCore::OnReturnedPacket(const FlowPacket& packet,
                                                const ForwardHeader& header,
                                                const base::SocketAddress& agent,
                                                base::TimePoint now) {
  NoticePause(now);
  m_agents.NoteActivity(agent);
  m_suspects.NoteHeard(agent);
  const Route* route = m_routes.Find(packet.flow.destination);
  if (route == nullptr) {
    return Drop(BalancerReason::kNoRoute);
  }
  FlowRecord& record = *Remember(packet.flow);
  record.last_packet = now;
  const std::size_t passes_limit =
      std::min(kMostPasses, 2 * PossibleHolders(*route, now).size() + kSparePasses);
  if (header.attempt >= passes_limit) {
    return Drop(BalancerReason::kTooManyPasses);
  }
  const auto attempt = static_cast<std::uint8_t>(header.attempt + 1);
  const bool is_answer_to_guess = record.agent == agent || record.agent == base::SocketAddress() ||
                                  Contains(record.route, agent);
  if (!is_answer_to_guess && !Contains(record.refused, record.agent)) {
    return ForwardTo(record, BalancerReason::kRemembered, attempt);
  }
  if (packet.is_opening && record.is_open) {
    return Drop(BalancerReason::kRemembered);  // a late copy: the flow is open
  }
  if (!packet.is_opening) {
    NoteOpen(record);
  }
  NoteRefusal(record, agent, header);
  if (packet.is_opening && record.forced > 0) {
    return OnForcedReturn(packet, *route, record, header, now);
  }
  if (packet.is_opening) {
    if (header.reason == ReturnReason::kBusy) {
      record.busy.push_back(agent);
    }
    if (header.reason == ReturnReason::kWarmingUp) {
      PassOver(agent, now);
    }
    return Place(packet, *route, record, attempt, now);
  }
  if (DiedWithItsEndpoint(packet.flow, agent)) {
    return packet.is_reset ? Drop(BalancerReason::kReset)
                           : Reset(BalancerReason::kHeldByNone, packet);
  }
  if (record.is_confirmed && header.reason == ReturnReason::kNotHeld) {
    m_flows.erase(packet.flow);  // its endpoint has lost it
    return packet.is_reset ? Drop(BalancerReason::kReset)
                           : Reset(BalancerReason::kHeldByNone, packet);
  }
  record.is_confirmed = false;
  return Search(packet, *route, record, attempt, now);
}

// An agent on the present search's route returned the packet: those before it had passed it on. A
// packet of an earlier search says nothing about the others.
void BalancerCore::NoteRefusal(FlowRecord& record, const base::SocketAddress& agent,
                               const ForwardHeader& header) {
  const auto position = std::find(record.route.begin(), record.route.end(), agent);
  const bool is_present = header.search_round == record.search_round;
  if (is_present && position != record.route.end()) {
    AddOnce(record.refused, record.agent);
    for (auto earlier = record.route.begin(); earlier != position; ++earlier) {
      AddOnce(record.refused, *earlier);
    }
  }
  AddOnce(record.refused, agent);
}

bool BalancerCore::OnHolderNotice(const FlowKey& flow, const base::SocketAddress& agent,
                                  base::ServiceId service, base::TimePoint now) {
  NoticePause(now);
  m_agents.NoteActivity(agent);
  m_suspects.NoteHeard(agent);
  FlowRecord& record = *Remember(flow);
  const bool is_news = record.agent != agent || !record.refused.empty();
  record.held_since = record.agent == agent ? record.held_since : now;
  record.agent = agent;
  record.service = service;
  record.is_open = true;
  record.is_confirmed = true;
  record.is_searching = false;
  record.route.clear();
  record.refused.clear();
  record.last_packet = now;
  return is_news;
}

}  // namespace gaugevalve::placement
