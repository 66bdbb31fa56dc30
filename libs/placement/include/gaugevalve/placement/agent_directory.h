/// @file
/// The agents that a balancer knows, from their reports.
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

/// One agent as its last report has it, and what this balancer has sent it since.
struct KnownAgent {
  base::SocketAddress address;
  AgentReport report;
  std::uint32_t zone = 0;                  ///< ZoneHash() of its zone, also before its first report
  base::Incarnation previous_incarnation;  ///< of the agent; what still comes from it is late
  base::TimePoint heard_at{};
  base::TimePoint reported_at{};          ///< its last whole report, which names the endpoint
  bool is_only_listed = false;            ///< by somebody else; not heard here
  std::uint32_t placed_since_report = 0;  ///< opening packets passed to it since the last report
  /// The first opening packet passed to it since it was last heard.
  std::optional<base::TimePoint> unanswered_since;
  base::TimePoint passed_over_until{};  ///< it is cold and has got what it bears
  double placed_share = 0;              ///< of this balancer's openings, decaying; for ties
  /// The newest report that knew the endpoint, also of an earlier life: a restarted agent asks for
  /// it.
  std::optional<AgentReport> memory;
  base::TimePoint memory_at{};
};

/// What a report changed.
enum class ReportOutcome : std::uint8_t {
  kNew,              ///< an agent not known before, or another life of one
  kStandingChanged,  ///< its endpoint may or may not take new flows from now on
  kTaken,
  kLate,  ///< older than one taken before
};

/// Bounded by `limit` agents; when full, agents not known yet are ignored. Not thread-safe.
class AgentDirectory {
 public:
  /// @param report_lifetime  how long a report speaks for the agent's present state, at least;
  /// longer for
  ///                   agents that say that they report less often
  AgentDirectory(std::size_t limit, base::Duration report_lifetime)
      : m_limit(limit), m_fresh_for(report_lifetime) {}

  ReportOutcome Take(const base::SocketAddress& address, const AgentReport& report,
                     base::TimePoint now);

  /// Takes how busy a known agent is.
  /// @return  false for an agent or a life that isn't known, and for late notices
  bool TakeLoad(const base::SocketAddress& address, const LoadNotice& notice, base::TimePoint now);

  /// Notes an agent that somebody else has heard: it isn't fresh until it reports, but may hold
  /// flows. Known agents are left as they are.
  void NoteListed(const ListedAgent& listed, base::TimePoint now);

  /// Notes that an opening packet was passed to the agent: it is to be heard soon.
  static void NoteOpening(KnownAgent& agent, base::TimePoint now);

  /// Notes a sign of life other than a report.
  void NoteActivity(const base::SocketAddress& address);

  /// Returns how long an agent may be silent before it is taken for gone: `least`, or longer where
  /// it says that it reports less often.
  static base::Duration SilenceLimit(const KnownAgent& agent, base::Duration least);

  /// Counts what happened before as later by `gap`, in which nothing could be heard.
  void SkipTime(base::Duration gap);

  /// Forgets agents not heard for `silence`, or longer where they report less often.
  /// @return  how many
  std::size_t ForgetSilent(base::Duration silence, base::TimePoint now);

  KnownAgent* Find(const base::SocketAddress& address);

  /// Returns the agents of a service in an order that is the same on every balancer. Valid until
  /// the next change of the directory.
  std::vector<KnownAgent*> OfService(base::ServiceId service);

  /// Returns the agents of all other services, in an order that is the same on every balancer.
  /// Valid until the next change of the directory.
  std::vector<KnownAgent*> OutsideServices(std::span<const base::ServiceId> services);

  /// Returns whether what is known of the agent still holds, as far as its reports can tell.
  bool IsFresh(const KnownAgent& agent, base::TimePoint now) const;

  /// Returns all agents in the order of their addresses, for listings.
  std::vector<const KnownAgent*> All() const;
  bool IsEmpty() const { return m_agents.empty(); }
  std::size_t Size() const { return m_agents.size(); }

  /// Returns whether the agent is worth naming to others: its endpoint is there, and it hasn't said
  /// that it ends.
  static bool IsPresent(const KnownAgent& agent);

  /// Returns how many agents are present.
  std::size_t PresentCount() const;

  /// Returns how many agents have been heard, not just listed. Those that said they end, or have no
  /// endpoint, are among them: they are found, and others may still count them.
  std::size_t HeardCount() const;

 private:
  template <std::predicate<const KnownAgent&> Condition>
  std::vector<KnownAgent*> Select(Condition is_wanted);

  std::size_t m_limit;
  base::Duration m_fresh_for;
  absl::flat_hash_map<base::SocketAddress, KnownAgent> m_agents;
};

}  // namespace gaugevalve::placement
