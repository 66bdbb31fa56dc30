/// @file
/// Directory of the agents that a balancer knows from their reports.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/agent_report.h"
#include "gaugevalve/placement/load_notice.h"

namespace gaugevalve::placement {

/// An agent as described by its last report, and what this balancer has sent to it since.
struct KnownAgent {
  base::SocketAddress address;
  AgentReport report;
  std::uint32_t zone = 0;  ///< ZoneHash() of its zone; known from listings before the first report
  /// Previous incarnation of the agent; its reports are stale.
  base::Incarnation previous_incarnation;
  base::TimePoint updated_at{};           ///< last report, load notice or first listing
  base::TimePoint reported_at{};          ///< last full report, which names the endpoint
  bool is_only_listed = false;            ///< known from a listing only; no report received
  std::uint32_t placed_since_report = 0;  ///< opening packets sent to it since the last report
  /// Time of the first opening packet sent to it since `updated_at`.
  std::optional<base::TimePoint> unanswered_since;
  /// End of the pause in new flows after a cold endpoint reached its limit.
  base::TimePoint passed_over_until{};
  double placed_share = 0;  ///< decaying share of this balancer's openings; breaks ties
  /// The newest report whose endpoint was known, possibly from an earlier incarnation of the agent.
  /// A restarted agent requests it.
  std::optional<AgentReport> memory;
  base::TimePoint memory_at{};
};

/// Effect of a report on the directory.
enum class ReportOutcome : std::uint8_t {
  kNew,              ///< an unknown agent, or a new incarnation of a known one
  kStandingChanged,  ///< the endpoint's readiness for new flows may have changed
  kTaken,
  kLate,  ///< older than a report processed before
};

/// Agents known to a balancer, at most `limit`. When the directory is full, unknown agents are
/// ignored. Not thread-safe.
class AgentDirectory {
 public:
  /// @param report_lifetime  minimum time for which a report counts as current; longer for agents
  /// that
  ///                   announce a longer report period
  AgentDirectory(std::size_t limit, base::Duration report_lifetime)
      : m_limit(limit), m_fresh_for(report_lifetime) {}

  ReportOutcome Take(const base::SocketAddress& address, const AgentReport& report,
                     base::TimePoint now);

  /// Updates the load of a known agent.
  /// @return  false if the agent or its incarnation is unknown, or the notice is stale
  bool TakeLoad(const base::SocketAddress& address, const LoadNotice& notice, base::TimePoint now);

  /// Adds an agent that another node has listed. It isn't fresh until it reports, but it may hold
  /// flows. Agents already known are not changed, except that one without a report is marked as
  /// stopping if the listing says so.
  void NoteListed(const ListedAgent& listed, base::TimePoint now);

  /// Records that an opening packet was sent to the agent, so that an answer is expected soon.
  static void NoteOpening(KnownAgent& agent, base::TimePoint now);

  /// Records a sign that the agent is alive, other than a report.
  void NoteActivity(const base::SocketAddress& address);

  /// Returns the silence after which an agent counts as gone: `least`, or longer if the agent
  /// announces a longer report period.
  static base::Duration SilenceLimit(const KnownAgent& agent, base::Duration least);

  /// Shifts recorded times forward by `gap`, a span in which nothing could be received.
  void SkipTime(base::Duration gap);

  /// Removes agents not updated for `silence`, or for longer if they announce a longer report
  /// period.
  /// @return  how many were removed
  std::size_t ForgetSilent(base::Duration silence, base::TimePoint now);

  KnownAgent* Find(const base::SocketAddress& address);

  /// Returns the agents of a service, in the same order on every balancer. The pointers are valid
  /// until the directory changes.
  std::vector<KnownAgent*> OfService(base::ServiceId service);

  /// Returns the agents of all other services, in the same order on every balancer. The pointers
  /// are valid until the directory changes.
  std::vector<KnownAgent*> OutsideServices(std::span<const base::ServiceId> services);

  /// Returns whether the agent's last report is recent enough to be relied on.
  bool IsFresh(const KnownAgent& agent, base::TimePoint now) const;

  /// Returns all agents ordered by address, for listings.
  std::vector<const KnownAgent*> All() const;
  bool IsEmpty() const { return m_agents.empty(); }
  std::size_t Size() const { return m_agents.size(); }

  /// Returns whether the agent should be listed to other nodes: its endpoint exists and the agent
  /// has not announced its end.
  static bool IsPresent(const KnownAgent& agent);

  /// Returns the number of present agents.
  std::size_t PresentCount() const;

  /// Returns the number of agents that have sent a report, as opposed to only listed. This includes
  /// agents that are stopping or have no endpoint, because other nodes may still count them.
  std::size_t ReportedCount() const;

 private:
  template <std::predicate<const KnownAgent&> Condition>
  std::vector<KnownAgent*> Select(Condition is_wanted);

  std::size_t m_limit;
  base::Duration m_fresh_for;
  absl::flat_hash_map<base::SocketAddress, KnownAgent> m_agents;
};

}  // namespace gaugevalve::placement
