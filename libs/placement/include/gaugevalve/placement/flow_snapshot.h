/// @file
/// The open flows of a balancer, for the case that everything stops: their bytes, and what a
/// balancer that starts makes of them.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/agent_report.h"
#include "gaugevalve/placement/dead_flow_queue.h"
#include "gaugevalve/placement/flow_packet.h"

namespace gaugevalve::placement {

/// One open flow as it was when the snapshot was made.
struct SavedFlow {
  FlowKey flow;
  std::uint32_t acknowledged = 0;         ///< by the client, last
  base::SocketAddress agent;              ///< that held it
  std::uint32_t endpoint = 0;             ///< EndpointHash() of the incarnation beside it
  std::uint64_t endpoint_started_ms = 0;  ///< EndpointIncarnation::started_ms of it

  friend bool operator==(const SavedFlow&, const SavedFlow&) = default;
};

/// Flows that a snapshot holds: 25 KB. The newest in use are kept where there are more.
inline constexpr std::size_t kSnapshotLimit = 2'048;

/// Returns the snapshot's bytes, for a store.
std::string EncodeFlowSnapshot(std::span<const SavedFlow> flows);

/// Returns the flows in the bytes, or nothing when they are malformed.
/// @param port  the port of all nodes
std::optional<std::vector<SavedFlow>> DecodeFlowSnapshot(std::string_view bytes,
                                                         std::uint16_t port);

/// Says when a snapshot is worth its call: when many flows are missing from the one before, or its
/// acknowledgements have become old. Not thread-safe.
class SnapshotSchedule {
 public:
  /// A client takes a reset within some ten thousand bytes of what it has acknowledged; that is
  /// some forty answers of 2 KB.
  static constexpr base::Duration kLongest = std::chrono::seconds(15);
  /// One in so many flows must be new for a snapshot before that.
  static constexpr std::size_t kNewPart = 5;

  /// All balancers together write four times a second: a third of a percent of the calls that a
  /// store of 1,200 writes a second takes, however many balancers there are.
  static constexpr base::Duration kPeriodPerBalancer = std::chrono::milliseconds(250);

  /// Returns how often each of so many balancers may save its flows, or nothing where that is so
  /// seldom that clients would have sent again before a snapshot is of use: from 61 balancers on.
  /// @param shortest  between two snapshots at least; 0 for none
  static std::optional<base::Duration> Period(base::Duration shortest, std::size_t balancers);

  /// Returns whether these flows are to be saved now; then they count as saved.
  bool TakeDue(std::span<const SavedFlow> flows, base::TimePoint now);

 private:
  std::optional<base::TimePoint> m_saved_at;
  absl::flat_hash_set<FlowKey> m_saved;
};

/// The flows of the snapshot that a balancer's former life left. Says where a flow was held, so
/// that it needn't be searched for, and which flows died with their endpoint's incarnation, so that
/// their clients are told before they send. A snapshot may be old: it speaks only for incarnations,
/// and one that lives keeps its flows. Not thread-safe.
class FlowRecovery {
 public:
  /// A snapshot is of use for so long after the start: by then clients have sent, or given up.
  static constexpr base::Duration kUseful = std::chrono::seconds(15);
  /// An announcement may be late and of an older incarnation. An agent is believed that another
  /// incarnation has taken the saved one's place when that started later by what both say; when it
  /// has announced itself twice; or when the endpoint has given back so many different flows that
  /// the saved one held;
  static constexpr std::size_t kReturnsNeeded = 3;
  /// or so many, where the incarnation's announcement is its first.
  static constexpr std::size_t kReturnsNeededAtStart = 1;

  /// Takes the flows of a snapshot. The first one counts.
  void Take(std::span<const SavedFlow> flows, base::TimePoint now);

  /// Returns the flow as it was saved, or null.
  const SavedFlow* Find(const FlowKey& flow) const;

  /// Returns the flows that are still here, in no order.
  std::vector<SavedFlow> Remaining() const;

  /// Its client has been heard, so it is looked after like others.
  void Forget(const FlowKey& flow);

  /// The agent's endpoint has given a flow back.
  void NoteReturn(const FlowKey& flow, const base::SocketAddress& agent);

  /// Takes out the flows of the agent that are dead, going by its newest report.
  std::vector<DeadFlow> TakeDead(const base::SocketAddress& agent, const AgentReport& report);

  /// Forgets all when they are of no use any more.
  void Tick(base::TimePoint now);

  std::size_t Size() const { return m_flows.size(); }

 private:
  bool IsBelieved(const base::SocketAddress& agent, const AgentReport& report) const;

  std::optional<base::TimePoint> m_taken_at;
  absl::flat_hash_map<FlowKey, SavedFlow> m_flows;
  absl::flat_hash_map<base::SocketAddress, std::vector<FlowKey>> m_by_agent;
  absl::flat_hash_map<base::SocketAddress, std::vector<FlowKey>> m_returned;
};

}  // namespace gaugevalve::placement
