/// @file
/// Replicas of the operator's configuration at agents, for balancers that start while nobody else
/// can give it to them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// Decision core: whether an agent holds a replica of the configuration, and of which version.
/// Agents outlive balancers, so a replica is there when all balancers were lost while the store
/// answers nobody. About kReplicas agents are chosen by their addresses, however many there are, so
/// that a change is fetched a bounded number of times. Not thread-safe.
class ConfigurationReplica {
 public:
  /// Agents that hold a replica, on average; all do in smaller deployments. Enough that a balancer
  /// which hears 1,000 agents a second meets one in some tens of milliseconds at 3,800 agents.
  static constexpr std::size_t kReplicas = 64;

  /// @param self  the address under which nodes reach this agent
  explicit ConfigurationReplica(const base::SocketAddress& self);

  /// Notes how many agents the deployment has; 0 where nobody has said.
  /// @return  whether a replica that was held is to be dropped, as the agent isn't chosen any more:
  ///          nobody would keep it up to date
  bool NoteAgentCount(std::size_t agents);

  /// Returns whether the configuration of a balancer that has this version in force is to be
  /// fetched.
  bool IsWanted(std::uint64_t version) const { return m_is_chosen && version > m_version; }

  /// Notes that the agent holds this version from now on.
  void Hold(std::uint64_t version) { m_version = version; }

  /// Returns the version that the agent holds; 0 for none.
  std::uint64_t Version() const { return m_version; }

 private:
  double m_rank;  // uniform in [0, 1)
  bool m_is_chosen = false;
  std::uint64_t m_version = 0;
};

/// Decision core: the agents from which a balancer may fetch a newer configuration than the one it
/// has in force. Not thread-safe.
class ConfigurationOffers {
 public:
  /// Agents may have been cut off and hold an old version: offers are compared for so long before
  /// the first one is taken. The store and peers answer sooner where they do.
  static constexpr base::Duration kCompareTime = std::chrono::milliseconds(150);

  /// Notes that an agent holds a replica.
  /// @param in_force  the balancer's own version; offers that aren't newer are left out
  void Note(const base::SocketAddress& agent, std::uint64_t version, std::uint64_t in_force,
            base::TimePoint now);

  /// Returns the agent to fetch from now, one with the newest version on offer, and forgets its
  /// offer. Call when no fetch is under way: where one fails, the next agent is returned.
  std::optional<base::SocketAddress> TakeBest(std::uint64_t in_force, base::TimePoint now);

 private:
  // The newest are kept; one that fails is replaced by another within a report or two.
  static constexpr std::size_t kMostOffers = 8;

  struct Offer {
    base::SocketAddress agent;
    std::uint64_t version = 0;
  };

  void DropOutdated(std::uint64_t in_force);

  std::vector<Offer> m_offers;         // the newest version first
  base::TimePoint m_first_noted_at{};  // of the present ones
};

}  // namespace gaugevalve::placement
