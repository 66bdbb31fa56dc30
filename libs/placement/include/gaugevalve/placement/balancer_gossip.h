/// @file
/// Gossip core: selects which nodes a balancer greets and what each greeting contains.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/rate_budget.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/balancer_core.h"
#include "gaugevalve/placement/balancer_list.h"
#include "gaugevalve/placement/node_message.h"
#include "gaugevalve/placement/store_reader_role.h"

namespace gaugevalve::placement {

/// A greeting and its receiver.
struct OutgoingGreeting {
  base::SocketAddress receiver;
  BalancerGreeting greeting;
};

/// Decision core: balancers find each other and the agents by gossip. In each round a few randomly
/// selected peers get a sample of the nodes that this balancer knows. Changes are sent at once to a
/// few more peers, which forward them. The traffic of a node therefore does not grow with the
/// deployment. A balancer that has just started asks its first peers for full listings. Not
/// thread-safe.
class BalancerGossip {
 public:
  /// @param self  the address under which nodes reach this balancer
  /// @param core  knows the agents and the routes; must outlive this object
  BalancerGossip(const base::SocketAddress& self, base::Incarnation incarnation, BalancerCore& core,
                 base::RandomSource& random, base::TimePoint now, StoreReaderSettings reader = {});

  /// Sets the addresses that are also greeted while only a few other balancers are alive.
  void SetSeeds(std::vector<base::SocketAddress> seeds) { m_balancers.SetSeeds(std::move(seeds)); }

  /// Handles a greeting from another balancer.
  /// @param is_new  set to whether the sender was not listed as alive
  /// @return  the answers, and greetings to nodes that were unknown
  std::vector<OutgoingGreeting> OnGreeting(const BalancerGreeting& greeting,
                                           const base::SocketAddress& sender, base::TimePoint now,
                                           bool& is_new);

  /// Returns the greeting to an agent whose process has just sent its first report.
  OutgoingGreeting GreetNewAgent(const KnownAgent& agent, base::TimePoint now);

  /// Notes the agents that another agent named. @return  queries to those that have not reported
  std::vector<OutgoingGreeting> OnNamedAgents(std::span<const ListedAgent> fellows,
                                              base::TimePoint now);

  /// Notes the agents listed in the store. @return  queries to those that have not reported
  std::vector<OutgoingGreeting> OnAgentListing(const AgentListing& listing, base::TimePoint now);

  /// Returns the agent listing to be written to the store.
  AgentListing MakeAgentListing(base::TimePoint now);

  /// Returns the greetings that announce a configuration which has just come into force here.
  /// @param is_first  whether there was none before; agents then wait for their health check path
  std::vector<OutgoingGreeting> OnNewRoutes(bool is_first, base::TimePoint now);

  /// Returns queries to the agents at which packets seem to get lost; see
  /// BalancerCore::TakeSuspects().
  std::vector<OutgoingGreeting> AskSuspects(base::TimePoint now);

  /// Returns the greetings that announce a change of the evacuated zones. Agents learn of it from
  /// AgentRound().
  std::vector<OutgoingGreeting> OnEvacuation(base::TimePoint now);

  /// Returns the first greeting to a node that another node named, usually a balancer.
  OutgoingGreeting Ask(const base::SocketAddress& node, base::TimePoint now);

  /// Returns this round's greetings to balancers.
  std::vector<OutgoingGreeting> PeerRound(base::TimePoint now);

  /// Returns the time to the next round. It is short in the first seconds after the start while no
  /// other balancer is alive, because the seeds may be starting as well.
  base::Duration PeerPeriod(base::TimePoint now) const;

  /// Returns this round's greetings to agents. Call every `kAgentPeriod`.
  std::vector<OutgoingGreeting> AgentRound(base::TimePoint now);
  static constexpr base::Duration kAgentPeriod = std::chrono::seconds(1);

  /// Removes balancers that no node had contact with for a minute. Call a few times a second.
  /// @return  queries to agents that have not answered yet, and notifications of a contact with the
  /// store
  std::vector<OutgoingGreeting> Tick(base::TimePoint now);

  /// Returns the other balancers that are alive.
  std::vector<BalancerAge> Alive(base::TimePoint now) const { return m_balancers.Alive(now); }
  std::size_t AliveCount(base::TimePoint now) const { return m_balancers.Alive(now).size(); }

  /// Returns the role that decides whether this balancer reads the store. Greetings update it.
  StoreReaderRole& Reader() { return m_reader; }

 private:
  void NotifyRandomPeers(std::size_t count, base::TimePoint now,
                         std::vector<OutgoingGreeting>& greetings);
  OutgoingGreeting AskAgent(const base::SocketAddress& address, base::TimePoint now) const;
  BalancerGreeting GreetingWithoutLists(bool wants_answer, base::TimePoint now) const;
  BalancerGreeting GreetingWithSamples(bool wants_answer, base::TimePoint now);
  BalancerGreeting GreetingForAgent(const KnownAgent& agent, base::TimePoint now) const;
  void SendFullListing(const base::SocketAddress& receiver, base::TimePoint now,
                       std::vector<OutgoingGreeting>& greetings);
  std::vector<ListedAgent> ListAgents() const;
  std::vector<ListedAgent> ListAgentsAndStopping(base::TimePoint now) const;
  void GossipStoreContact(base::TimePoint now, std::vector<OutgoingGreeting>& greetings);
  void AskListed(std::span<const ListedAgent> agents, base::TimePoint now,
                 std::vector<OutgoingGreeting>& greetings);

  // Limits the datagrams of full listings to 400 a second, or 480 KB a second. All balancers of a
  // fleet may start at once and ask the few seeds in their settings.
  static constexpr std::size_t kListingDatagramsPerPeriod = 40;
  static constexpr base::Duration kListingPeriod = std::chrono::milliseconds(100);

  base::Incarnation m_incarnation;
  BalancerCore& m_core;
  base::RandomSource& m_random;
  BalancerList m_balancers;
  StoreReaderRole m_reader;
  base::TimePoint m_started_at;
  unsigned m_full_listings_requested = 0;  // first greetings that asked for a full listing
  base::TimePoint m_last_new_node_at;      // when a greeting last named a node that wasn't known
  base::RateBudget m_listings{kListingDatagramsPerPeriod, kListingPeriod};
};

}  // namespace gaugevalve::placement
