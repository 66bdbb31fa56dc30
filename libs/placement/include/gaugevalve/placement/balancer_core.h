/// @file
/// A balancer's decisions: which agent gets each packet of a client.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/agent_directory.h"
#include "gaugevalve/placement/agent_discovery.h"
#include "gaugevalve/placement/agent_queries.h"
#include "gaugevalve/placement/dead_flow_queue.h"
#include "gaugevalve/placement/endpoint_chooser.h"
#include "gaugevalve/placement/evacuated_zones.h"
#include "gaugevalve/placement/flow_packet.h"
#include "gaugevalve/placement/flow_snapshot.h"
#include "gaugevalve/placement/forward_header.h"
#include "gaugevalve/placement/route_table.h"

namespace gaugevalve::placement {

struct BalancerSettings {
  std::string zone;
  std::size_t flow_limit = 200'000;  ///< flows remembered; more are searched for at each packet
  std::size_t agent_limit = 8'192;
  base::Duration report_lifetime = std::chrono::milliseconds(800);  ///< life of a report
  /// A balancer this young doesn't know all agents yet: it drops where it would reset. It goes on
  /// learning until AgentDiscovery has found all, for `silence_limit` at most.
  base::Duration learning_time = std::chrono::milliseconds(700);
  /// An agent not heard for this long is no longer taken for the holder of a flow.
  base::Duration silence_limit = std::chrono::seconds(4);
  /// A flow without a packet for this long is forgotten, at least; see RouteTable::idle_timeout.
  base::Duration flow_retention = std::chrono::seconds(60);
};

enum class BalancerVerdict : std::uint8_t { kForward, kReset, kDrop };

/// Returns the verdict's name for logs.
const char* BalancerVerdictName(BalancerVerdict verdict);

/// Why a packet was reset or dropped, or how its agent was found.
enum class BalancerReason : std::uint8_t {
  kRemembered,     ///< the flow's agent is known
  kPlaced,         ///< a new flow
  kSearched,       ///< an unknown flow is offered to an agent
  kNoRoutes,       ///< no configuration is known yet
  kNoRoute,        ///< the virtual address has no route
  kRouteRemoved,   ///< the flow's route is gone
  kNoEndpoint,     ///< no endpoint of the service admits new flows
  kAllRefused,     ///< each endpoint returned the opening packet
  kHeldByNone,     ///< each endpoint returned the packet: the flow has ended
  kNotSure,        ///< nothing is known of the flow, and not all agents could be asked
  kTooManyPasses,  ///< the packet was passed on too often
  kReset,          ///< a client's reset of a flow that isn't known
};
inline constexpr std::size_t kBalancerReasonCount =
    static_cast<std::size_t>(BalancerReason::kReset) + 1;

/// Returns the reason's name for logs and metrics.
const char* BalancerReasonName(BalancerReason reason);

/// What to do with one packet.
struct BalancerDecision {
  BalancerVerdict verdict = BalancerVerdict::kDrop;
  BalancerReason reason = BalancerReason::kNoRoute;
  base::SocketAddress agent;         ///< for kForward
  ForwardHeader header;              ///< for kForward
  std::uint32_t reset_sequence = 0;  ///< for kReset: one that the client takes
  /// For kForward of a search: the agents that are to pass the packet on among themselves.
  std::vector<base::SocketAddress> route{};
};

/// Decision core. An opening packet goes to the least loaded endpoint of its route's service; where
/// an agent returns it, to the next. The flow's agent is remembered. A packet of an unknown flow is
/// offered to the agents of the route's services in turn until one doesn't return it: the endpoints
/// know which flows they hold, so flows outlive every process of ours. Not thread-safe.
class BalancerCore {
 public:
  BalancerCore(BalancerSettings settings, base::RandomSource& random, base::TimePoint now);

  /// Swaps the route table; an older version than the one in force is ignored.
  /// @return  whether it was taken
  bool SetRoutes(RouteTable routes);
  const RouteTable& Routes() const { return m_routes; }

  /// Takes which zones are evacuated: their endpoints get no new flow.
  /// @return  whether the zones have changed
  bool ApplyEvacuatedZones(const EvacuatedZones& evacuated) { return m_evacuated.Take(evacuated); }
  const EvacuatedZones& Evacuated() const { return m_evacuated; }

  /// A packet that came from a client.
  BalancerDecision OnClientPacket(const FlowPacket& packet, base::TimePoint now);

  /// A packet that an agent returned.
  BalancerDecision OnReturnedPacket(const FlowPacket& packet, const ForwardHeader& header,
                                    const base::SocketAddress& agent, base::TimePoint now);

  /// An agent says that its endpoint holds a flow that was searched for.
  /// @param service  of that endpoint; the agent may not have reported yet
  /// @return  whether that wasn't what the balancer believed
  bool OnHolderNotice(const FlowKey& flow, const base::SocketAddress& agent,
                      base::ServiceId service, base::TimePoint now);

  ReportOutcome OnReport(const base::SocketAddress& address, const AgentReport& report,
                         base::TimePoint now);

  /// Takes how busy an agent says that it is.
  void OnLoad(const base::SocketAddress& address, const LoadNotice& notice, base::TimePoint now);

  /// Returns the agents to be asked for a report now, as packets passed to them seem to be lost:
  /// one that doesn't answer is asked last in searches, and after a part of
  /// BalancerSettings::silence_limit it no longer counts as the holder of a flow. Call a few times
  /// a second, and when there are new ones.
  std::vector<base::SocketAddress> TakeSuspects(base::TimePoint now);
  bool HasNewSuspects() const { return !m_new_suspects.empty(); }

  /// Forgets idle flows and silent agents. Call a few times a second: a longer gap means that this
  /// process was paused. Others weren't silent then, so what it knows ages by nothing, and it
  /// learns anew before it takes anything for certain.
  void Tick(base::TimePoint now);

  /// Returns the open flows whose endpoint's incarnation is known for certain, for a store.
  std::vector<SavedFlow> MakeSnapshot();

  /// Takes what the balancer's former life saved. Call once, soon after the start.
  void TakeSnapshot(std::span<const SavedFlow> flows, base::TimePoint now);

  /// The flows whose agents were given up, together with their machines as far as this balancer can
  /// tell, and whose clients are silent: they are to be reset.
  DeadFlowQueue& FlowsToReset() { return m_dead; }

  /// Returns whether the process has just started or woken from a pause: what it receives may have
  /// waited in its sockets for as long as it stood still.
  bool HasJustWoken(base::TimePoint now);

  /// Returns how long the process has been paused in all.
  base::Duration PausedFor() const { return m_paused_for; }

  AgentDirectory& Agents() { return m_agents; }
  AgentDiscovery& Discovery() { return m_discovery; }

  /// Notes an agent that somebody else has heard.
  /// @return  whether it is to be asked for a report now
  bool NoteListed(const ListedAgent& agent, base::TimePoint now);

  /// Returns whether the agent isn't worth naming to balancers that will know none: it isn't known,
  /// has said that it ends, has no endpoint, or has been silent for too long.
  bool IsGone(const base::SocketAddress& agent, base::TimePoint now);

  /// Returns whether there may be agents that this balancer hasn't found yet.
  bool IsLearning(base::TimePoint now);
  std::size_t FlowCount() const { return m_flows.size(); }

 private:
  struct FlowRecord {
    base::SocketAddress agent;
    base::ServiceId service;
    base::TimePoint last_packet{};
    std::uint32_t opening_sequence = 0;
    std::uint8_t priority = kDefaultPriority;  // of its requests
    base::TimePoint held_since{};              // at `agent`, as far as is known
    std::uint32_t acknowledged = 0;            // by the client, last
    base::TimePoint data_at{};                 // when the client last sent data
    std::uint32_t data_sequence = 0;           // of the last packet with data; a copy has the same
    bool has_data = false;
    bool is_open = false;       // a packet beyond the opening one has come from the client
    bool is_confirmed = false;  // the agent's endpoint was seen to hold the flow
    std::vector<base::SocketAddress> route;  // of the search under way, after `agent`
    base::TimePoint searched_at{};
    bool is_searching = false;                 // and the holder hasn't been found
    std::uint8_t search_round = 0;             // counts the routes that were made
    std::uint32_t search_order = 0;            // each takes another order
    unsigned forced = 0;                       // openings that had to be accepted
    std::vector<base::SocketAddress> refused;  // agents that returned it
    std::vector<base::SocketAddress> busy;     // those of them that did so for their load
  };

  BalancerDecision OnOpening(const FlowPacket& packet, base::TimePoint now);
  BalancerDecision OnLater(const FlowPacket& packet, base::TimePoint now);
  BalancerDecision Place(const FlowPacket& packet, const Route& route, FlowRecord& record,
                         std::uint8_t attempt, base::TimePoint now);
  BalancerDecision PlaceBusy(const FlowPacket& packet, const Route& route, FlowRecord& record,
                             std::uint8_t attempt, base::TimePoint now);
  void PassOver(const base::SocketAddress& address, base::TimePoint now);
  KnownAgent* TakeTrial(const FlowRecord& record, base::TimePoint now);
  std::vector<KnownAgent*> Ejected(const FlowRecord& record, base::TimePoint now);
  BalancerDecision ForwardForGood(KnownAgent& agent, const Route& route, FlowRecord& record,
                                  std::uint8_t attempt, base::TimePoint now);
  BalancerDecision OnForcedReturn(const FlowPacket& packet, const Route& route, FlowRecord& record,
                                  const ForwardHeader& header, base::TimePoint now);
  std::vector<KnownAgent*> Candidates(const FlowRecord& record,
                                      const std::vector<base::SocketAddress>& without,
                                      base::TimePoint now);
  BalancerDecision Search(const FlowPacket& packet, const Route& route, FlowRecord& record,
                          std::uint8_t attempt, base::TimePoint now);
  BalancerDecision OnAllRefused(const FlowPacket& packet, const Route& route, FlowRecord& record,
                                base::TimePoint now);
  BalancerDecision ForwardTo(const FlowRecord& record, BalancerReason reason,
                             std::uint8_t attempt) const;
  std::vector<KnownAgent*> PossibleHolders(const Route& route, base::TimePoint now);
  std::vector<KnownAgent*> HoldersOfOtherServices(const Route& route, base::TimePoint now);
  bool MayBeAmongTooMany(const Route& route, base::TimePoint now);
  void OrderForSearch(std::vector<KnownAgent*>& agents, const Route& route,
                      const FlowPacket& packet, const FlowRecord& record,
                      base::TimePoint now) const;
  std::span<const base::ServiceId> ServicesOf(const Route& route) const;
  static void NoteServices(const Route& route, std::vector<base::ServiceId>& services);
  static bool IsSearchLost(const FlowRecord& record, base::TimePoint now);
  bool IsGivenUp(const FlowRecord& record, base::TimePoint now);
  void Suspect(const KnownAgent& agent, base::TimePoint since, base::TimePoint now);
  void SuspectRoute(const FlowRecord& record, base::TimePoint now);
  void NoteData(const FlowPacket& packet, FlowRecord& record, base::TimePoint now);
  void NoteDeadFlows(base::TimePoint now);
  void AddUnheard(std::vector<SavedFlow>& flows);
  void TellDead(const base::SocketAddress& address);
  bool DiedWithItsEndpoint(const FlowKey& flow, const base::SocketAddress& agent);
  bool RecallHolder(const FlowKey& flow, FlowRecord& record, base::TimePoint now);
  bool IsDead(const FlowKey& flow, const FlowRecord& record, base::TimePoint now);
  bool IsResponsive(const KnownAgent& agent, base::TimePoint now) const;
  static bool IsOpeningLost(const KnownAgent& agent, const FlowRecord& record, base::TimePoint now);
  bool TakesNewFlows(const KnownAgent& agent) const;
  bool MayHoldFlows(const KnownAgent& agent, base::TimePoint now) const;
  static void NoteRefusal(FlowRecord& record, const base::SocketAddress& agent,
                          const ForwardHeader& header);
  static void NoteOpen(FlowRecord& record);
  void NoticePause(base::TimePoint now);
  FlowRecord* Remember(const FlowKey& flow);
  BalancerSettings m_settings;
  base::RandomSource& m_random;
  AgentDirectory m_agents;
  AgentDiscovery m_discovery;
  AgentQueries m_suspects;                          // agents that packets seem to be lost at
  std::vector<base::SocketAddress> m_new_suspects;  // to be asked at once
  bool m_has_learned = false;                       // since the start or the last pause
  EndpointChooser m_chooser;
  RouteTable m_routes;
  EvacuatedZones m_evacuated;
  // Services that ever stood behind an address: open flows stay where they are.
  absl::flat_hash_map<base::SocketAddress, std::vector<base::ServiceId>> m_past_services;
  absl::flat_hash_map<FlowKey, FlowRecord> m_flows;
  DeadFlowQueue m_dead;
  FlowRecovery m_recovery;
  FlowRecord m_overflow;         // stands in for a record when there is no room
  base::TimePoint m_started_at;  // or woken from a pause
  base::TimePoint m_swept_at;
  std::optional<base::TimePoint> m_ticked_at;
  base::Duration m_paused_for{0};
};

}  // namespace gaugevalve::placement
