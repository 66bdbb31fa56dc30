/// @file
/// An agent's decisions: what reaches the endpoint beside it, and where the endpoint's packets go.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/agent_report.h"
#include "gaugevalve/placement/dead_flow_queue.h"
#include "gaugevalve/placement/endpoint_gate.h"
#include "gaugevalve/placement/evacuated_zones.h"
#include "gaugevalve/placement/flow_packet.h"
#include "gaugevalve/placement/forward_header.h"
#include "gaugevalve/placement/held_addresses.h"
#include "gaugevalve/placement/outlier_detector.h"
#include "gaugevalve/placement/report_schedule.h"
#include "gaugevalve/placement/request_class.h"
#include "gaugevalve/placement/request_queue.h"
#include "gaugevalve/placement/warm_up_limiter.h"

namespace gaugevalve::placement {

struct AgentCoreSettings {
  base::Incarnation life;
  base::ServiceId service;
  std::string zone;
  base::Duration announcement_period = std::chrono::seconds(1);
  base::Duration drain_limit = std::chrono::seconds(3);  ///< see EndpointGate's memory limit
  std::size_t flow_limit = 50'000;
  std::size_t balancer_limit = 2'048;
  /// Whether an endpoint that resets requests is passed over for a while; see OutlierDetector.
  bool ejects_failing = true;
  /// Whether requests on open flows wait here while the endpoint is full, the more urgent first.
  bool queues_requests = false;
  /// No flow is older.
  base::Duration flow_lifetime = std::chrono::seconds(60);
  /// Whether the endpoint held no flow when the agent started.
  bool starts_with_endpoint = false;
  /// What cold endpoints may be given above their service's rate; nothing for no bound.
  std::optional<WarmUpTolerance> warm_up_tolerance{};
};

enum class AgentVerdict : std::uint8_t {
  kDeliver,
  kReturn,
  kForwardToNextAgent,
  kToClient,
  kQueue,  ///< keep the packet until AgentCore::TakeReleased() names its flow
  kDrop
};

/// What an announcement of the endpoint came to.
struct AnnouncementResult {
  AnnouncementOutcome outcome = AnnouncementOutcome::kTaken;
  bool is_successor = false;   ///< of an incarnation that started earlier and has ended
  std::size_t dead_flows = 0;  ///< of its former life, given out by AgentCore::FlowsToReset()
};

/// Flows that no longer wait.
struct QueueRelease {
  std::vector<FlowKey> passed;  ///< their packets go to the endpoint now, in this order
  /// Their callers have given up, or more urgent ones took their place: drop the packets. Nothing
  /// of them has reached the endpoint.
  std::vector<FlowKey> dropped;
};

/// What became of requests on open flows.
struct QueueCounters {
  std::uint64_t queued = 0;
  std::uint64_t given_up = 0;  ///< their callers had, while they waited
  std::uint64_t dropped_on_full_queue =
      0;  ///< dropped from a full queue; their callers send them again
};

/// What to do with one packet.
struct AgentDecision {
  AgentVerdict verdict = AgentVerdict::kDrop;
  std::uint32_t mark =
      0;  ///< for kDeliver and kQueue: the endpoint gives it back if it doesn't take it
  base::SocketAddress balancer;  ///< for kReturn
  ForwardHeader header;          ///< for kReturn and kForwardToNextAgent
  base::SocketAddress next;      ///< for kForwardToNextAgent: the next agent of the search
  SearchRoute route;             ///< for kForwardToNextAgent: what is left of it
  /// For kToClient: a balancer that searches for this flow's owner and is to be told.
  std::optional<base::SocketAddress> searching_balancer;
};

/// Decision core. Not thread-safe.
class AgentCore {
 public:
  explicit AgentCore(AgentCoreSettings settings);

  /// A client's packet that `sender`, a balancer, or an agent of a search, passed on.
  /// @param route  the search's; empty when there is none
  AgentDecision OnForwarded(const FlowPacket& packet, const ForwardHeader& header,
                            const SearchRoute& route, const base::SocketAddress& sender,
                            base::TimePoint now);

  /// A packet from the endpoint. @param mark  what it carries back when it is bounced
  AgentDecision OnEndpointPacket(const FlowPacket& packet, std::uint32_t mark, base::TimePoint now);

  EndpointGate& Gate() { return m_gate; }

  /// Takes an announcement of the endpoint. Where it started after the incarnation that was known,
  /// the flows of that one are dead: their clients are told before they send on them, and requests
  /// that wait for it are dropped.
  /// @param unix_ms  the time of day, in the terms of EndpointIncarnation::started_ms
  AnnouncementResult OnAnnouncement(const Announcement& announcement, std::uint64_t unix_ms,
                                    base::TimePoint now);

  /// Takes which zones are evacuated: while the agent's own is, new flows are returned, however
  /// little the balancer that sends them knows. The agent tells balancers in its reports.
  /// @return  whether the zones have changed
  bool ApplyEvacuatedZones(const EvacuatedZones& evacuated, base::TimePoint now);
  const EvacuatedZones& Evacuated() const { return m_evacuated; }
  /// Takes what a balancer remembers of the agent's former life, besides Gate().Remember().
  void RememberHeld(const HeldAddresses& memory, base::TimePoint now) {
    m_held.Remember(memory, now);
  }

  /// Sets the version of the configuration that reports say the agent holds; 0 for none.
  void SetHeldRoutes(std::uint64_t version) { m_held_routes = version; }

  /// Takes what the configuration says of the service's cold endpoints.
  void SetWarmUpRate(const WarmUpRate& rate) { m_warm_up.SetRate(rate); }

  /// Returns whether the endpoint is cold, or may be: from a start, or since its zone was taken
  /// back.
  bool MayBeCold(base::TimePoint now) const;

  /// Takes what the priorities of the service's requests mean. Until then none waits.
  void SetClasses(const RequestClassTable& classes) { m_queue.SetClasses(classes); }

  /// Returns the flows whose requests may go on now. Call after each batch of packets, and in each
  /// period of Tick().
  QueueRelease TakeReleased(base::TimePoint now);

  /// Nothing listens at the endpoint's address: the flows that it held are dead. Those whose
  /// clients' acknowledgements were seen are given out by FlowsToReset().
  /// @return  how many
  std::size_t NoteEndpointGone(base::TimePoint now);

  /// The flows that are to be reset towards their clients.
  DeadFlowQueue& FlowsToReset() { return m_dead; }

  /// Returns how many requests wait here, by priority.
  const PriorityCounts& Queued() const { return m_queue.Counts(); }
  const QueueCounters& QueueTotals() const { return m_queue_counters; }

  bool IsEvacuated() const { return m_evacuated.Has(m_settings.zone); }

  /// From now on the agent takes no new flow: its process ends. Its endpoint, if it said that it
  /// leaves, has ended by then.
  void Stop() { m_is_stopping = true; }

  /// Returns the agent's account of itself.
  AgentReport MakeReport(base::TimePoint now);

  /// When to report to whom; MakeReport() says how often that is.
  ReportSchedule& Reports() { return m_reports; }

  /// Returns the endpoint's standing as reported.
  EndpointStanding Standing(base::TimePoint now) const;

  /// Updates averages and forgets idle flows. Call every `kTickPeriod`.
  void Tick(base::TimePoint now);
  static constexpr base::Duration kTickPeriod = std::chrono::milliseconds(50);

  std::size_t FlowCount() const { return m_flows.size(); }

  /// What became of the flows of the endpoint's present incarnation.
  OutlierDetector& OutlierDetection();

 private:
  // An opening without a request counts as a coming request for this long.
  static constexpr base::Duration kOpeningTime = std::chrono::milliseconds(300);

  enum class FlowState : std::uint8_t {
    kOpening,
    kIdle,
    kWaiting,  // for the endpoint's answer
    kQueued,   // the request hasn't gone to the endpoint yet
  };

  struct FlowRecord {
    FlowState state = FlowState::kIdle;
    base::TimePoint since{};  // of the state
    base::TimePoint last_packet{};
    base::TimePoint held_at{};     // when the endpoint last sent a packet of the flow
    std::uint32_t client_end = 0;  // the client's data is known up to here
    bool has_client_end = false;
    std::uint32_t acknowledged = 0;  // by the client, last
    bool has_acknowledged = false;
    std::uint32_t request_begin = 0;  // of the request under way
    std::uint32_t queued_end = 0;     // the client's data up to here waits
    bool is_held = false;             // the endpoint was seen to hold the flow
    bool is_large = false;            // the request under way takes long to arrive
    bool is_stuck = false;            // its answer is overdue by far
    bool client_closed = false;
    bool endpoint_closed = false;
    std::optional<base::SocketAddress> searching_balancer;
    SearchRoute route;  // where the flow's packets go on if the endpoint doesn't hold it
    std::uint8_t search_round = 0;
    bool is_not_held = false;  // kept for its route only
  };

  AgentDecision OnForwardedOpening(const FlowPacket& packet, const ForwardHeader& header,
                                   const base::SocketAddress& balancer, base::TimePoint now);
  AgentDecision OnBounced(const FlowPacket& packet, std::uint32_t mark, base::TimePoint now);
  AgentDecision ReturnOrPassOn(const ForwardHeader& header, const SearchRoute& route,
                               const base::SocketAddress& balancer, ReturnReason reason) const;
  AgentDecision Return(const ForwardHeader& header, const base::SocketAddress& balancer,
                       ReturnReason reason) const;
  std::uint32_t MarkFor(const base::SocketAddress& balancer, std::uint8_t attempt);
  void NoteClientPacket(FlowRecord& record, const FlowPacket& packet, base::TimePoint now);
  void NoteEndpointPacket(FlowRecord& record, const FlowPacket& packet, base::TimePoint now);
  void SetState(FlowRecord& record, FlowState state, base::TimePoint now);
  void Forget(const FlowKey& flow);
  void NoteOutcome(const FlowRecord& record, const FlowPacket& packet, base::TimePoint now);
  bool IsIdle(const FlowRecord& record, base::TimePoint now) const;
  template <std::predicate<const FlowRecord&> Condition>
  std::size_t EndFlows(Condition is_over, base::TimePoint now);
  static base::TimePoint StartOf(const EndpointIncarnation& incarnation, std::uint64_t unix_ms,
                                 base::TimePoint last_heard, base::TimePoint now);
  void NoteHeldAddresses(base::TimePoint now);
  std::uint32_t Busy() const {
    return m_waiting + m_opening + static_cast<std::uint32_t>(m_queue.Size());
  }
  std::uint32_t BusyFor(std::uint8_t priority) const;
  bool MustWait(const FlowRecord& record, const FlowPacket& packet,
                const ForwardHeader& header) const;
  AgentDecision Enqueue(FlowRecord& record, const FlowPacket& packet, const ForwardHeader& header,
                        const base::SocketAddress& balancer, base::TimePoint now);
  std::uint32_t AtEndpoint() const;
  bool HasRoom() const;
  std::uint32_t Slots() const { return std::max(1U, m_gate.Newest().capacity); }
  bool PassesAll(base::TimePoint now) const;
  void Release(const FlowKey& flow, base::TimePoint now);
  void Abandon(const FlowKey& flow, base::TimePoint now);
  void NoteRequestSize(FlowRecord& record);
  void NoteStuck(FlowRecord& record, base::TimePoint now);
  // Whether byte number `left` comes after `right`, around the end of the number range.
  static bool IsAfterByte(std::uint32_t left, std::uint32_t right) {
    return static_cast<std::int32_t>(left - right) > 0;
  }

  AgentCoreSettings m_settings;
  EndpointGate m_gate;
  EvacuatedZones m_evacuated;
  std::optional<base::TimePoint> m_taken_back_at;  // the agent's zone
  WarmUpLimiter m_warm_up;
  HeldAddressTracker m_held;
  absl::flat_hash_map<FlowKey, FlowRecord> m_flows;
  std::vector<base::SocketAddress> m_balancers;  // an index is part of a mark
  std::uint64_t m_report_sequence = 0;
  std::uint64_t m_held_routes = 0;  // version of the configuration that the agent holds
  ReportSchedule m_reports;
  OutlierDetector m_outcomes;
  EndpointIncarnation m_monitored;  // that they are of
  DeadFlowQueue m_dead;
  RequestQueue m_queue;
  std::vector<FlowKey> m_displaced;  // more urgent ones took their places
  QueueCounters m_queue_counters;
  EndpointIncarnation m_queued_for;  // that the waiting requests are for
  std::uint32_t m_waiting = 0;       // for answers
  std::uint32_t m_large = 0;         // of them
  std::uint32_t m_stuck = 0;         // of them, and not large
  std::uint32_t m_opening = 0;
  std::uint32_t m_open_flows = 0;  // as of the last sweep
  double m_busy_average = 0;
  base::Duration m_answer_time{0};
  base::TimePoint m_swept_at{};
  bool m_is_stopping = false;
};

}  // namespace gaugevalve::placement
