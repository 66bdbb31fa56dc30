/// @file
/// Replicas of the operator's configuration at agents, for balancers that start while no other
/// source can provide it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// Decision core: whether an agent holds a replica of the configuration, and of which version.
/// Agents outlive balancers, so replicas remain when all balancers are lost while the store is
/// unreachable. About kReplicas agents are selected by a hash of their addresses, whatever the size
/// of the deployment, so that a bounded number of agents fetch each change. Not thread-safe.
class ConfigurationReplica {
 public:
  /// Average number of agents that hold a replica; in smaller deployments all agents do. With 64
  /// replicas among 3,800 agents, a balancer that hears 1,000 agents a second hears one of the
  /// replicas within some tens of milliseconds.
  static constexpr std::size_t kReplicas = 64;

  /// @param self  address under which nodes reach this agent
  explicit ConfigurationReplica(const base::SocketAddress& self);

  /// Updates the deployment's number of agents; 0 if not stated.
  /// @return  whether a replica is to be dropped because the agent is no longer selected and would
  ///          not keep it up to date
  bool NoteAgentCount(std::size_t agents);

  /// Returns whether to fetch the configuration from a balancer that has this version in force.
  bool IsWanted(std::uint64_t version) const { return m_is_chosen && version > m_version; }

  /// Records that the agent now holds this version.
  void Hold(std::uint64_t version) { m_version = version; }

  /// Returns the version that the agent holds; 0 for none.
  std::uint64_t Version() const { return m_version; }

 private:
  double m_rank;  // uniform in [0, 1)
  bool m_is_chosen = false;
  std::uint64_t m_version = 0;
};

/// Decision core: the agents from which a balancer can fetch a newer configuration than the one it
/// has in force. Not thread-safe.
class ConfigurationOffers {
 public:
  /// Time for which offers are collected before the first one is taken, because an agent that was
  /// partitioned may hold an old version. The store and peers, if reachable, answer sooner.
  static constexpr base::Duration kCompareTime = std::chrono::milliseconds(150);

  /// Records that an agent holds a replica.
  /// @param in_force  the balancer's own version; offers that aren't newer are ignored
  void Note(const base::SocketAddress& agent, std::uint64_t version, std::uint64_t in_force,
            base::TimePoint now);

  /// Returns an agent with the newest version on offer, to fetch from now, and removes its offer.
  /// Call when no fetch is in progress; after a failed fetch, call it again for the next agent.
  std::optional<base::SocketAddress> TakeBest(std::uint64_t in_force, base::TimePoint now);

 private:
  // The newest offers are kept. An offer whose fetch failed is replaced by the next one or two
  // reports.
  static constexpr std::size_t kMaxOffers = 8;

  struct Offer {
    base::SocketAddress agent;
    std::uint64_t version = 0;
  };

  void DropOutdated(std::uint64_t in_force);

  std::vector<Offer> m_offers;         // in descending order of version
  base::TimePoint m_first_noted_at{};  // when the first of the current offers was recorded
};

}  // namespace gaugevalve::placement
