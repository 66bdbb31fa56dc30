/// @file
/// What a balancer tells other nodes about those it knows, and to whom.
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

/// A greeting and whom it is for.
struct OutgoingGreeting {
  base::SocketAddress receiver;
  BalancerGreeting greeting;
};

/// Decision core: balancers find each other and the agents by gossip. Each round a few peers, drawn
/// by chance, get a sample of what this balancer knows; news go to a few more at once, who pass
/// them on. So a node's share of the traffic doesn't grow with the deployment. A balancer that has
/// just started asks its first peers for everything. Not thread-safe.
class BalancerGossip {
 public:
  /// @param self  the address under which nodes reach this balancer
  /// @param core  knows the agents and the routes; must outlive this object
  BalancerGossip(const base::SocketAddress& self, base::Incarnation life, BalancerCore& core,
                 base::RandomSource& random, base::TimePoint now, StoreReaderSettings reader = {});

  /// Sets the addresses that are asked while fewer than a few others are alive.
  void SetSeeds(std::vector<base::SocketAddress> seeds) { m_balancers.SetSeeds(std::move(seeds)); }

  /// Takes what another balancer tells.
  /// @param is_new  set to whether the sender wasn't known as alive
  /// @return  the answers, and greetings of nodes that were not known
  std::vector<OutgoingGreeting> OnGreeting(const BalancerGreeting& greeting,
                                           const base::SocketAddress& sender, base::TimePoint now,
                                           bool& is_new);

  /// Returns the greeting of an agent that has just been heard for the first time in its life.
  OutgoingGreeting GreetNewAgent(const KnownAgent& agent, base::TimePoint now);

  /// Takes the agents that another agent names. @return  questions to those not heard yet
  std::vector<OutgoingGreeting> OnNamedAgents(std::span<const ListedAgent> fellows,
                                              base::TimePoint now);

  /// Takes the agents that the store names. @return  questions to those not heard yet
  std::vector<OutgoingGreeting> OnAgentListing(const AgentListing& listing, base::TimePoint now);

  /// Returns what the store is to keep of the agents.
  AgentListing MakeAgentListing(base::TimePoint now);

  /// Returns the greetings that spread a configuration which this balancer has just taken.
  /// @param is_first  whether it had none before; agents wait for their health check's path then
  std::vector<OutgoingGreeting> OnNewRoutes(bool is_first, base::TimePoint now);

  /// Returns questions to the agents that packets seem to be lost at; see
  /// BalancerCore::TakeSuspects().
  std::vector<OutgoingGreeting> AskSuspects(base::TimePoint now);

  /// Returns the greetings that spread evacuated zones which have just changed here. Agents hear of
  /// them in their rounds.
  std::vector<OutgoingGreeting> OnEvacuation(base::TimePoint now);

  /// Returns a question to a node that somebody else named, a balancer as a rule.
  OutgoingGreeting Ask(const base::SocketAddress& node, base::TimePoint now);

  /// Returns this round's greetings of balancers.
  std::vector<OutgoingGreeting> PeerRound(base::TimePoint now);

  /// Returns the time to the next round: short while this balancer is young and knows no other, as
  /// its seeds may be about to start as well.
  base::Duration PeerPeriod(base::TimePoint now) const;

  /// Returns this round's greetings of agents. Call every `kAgentPeriod`.
  std::vector<OutgoingGreeting> AgentRound(base::TimePoint now);
  static constexpr base::Duration kAgentPeriod = std::chrono::seconds(1);

  /// Forgets balancers that nobody has heard for long. Call a few times a second.
  /// @return  questions to agents that haven't answered yet, and news of the store
  std::vector<OutgoingGreeting> Tick(base::TimePoint now);

  /// Returns the other balancers that are alive.
  std::vector<BalancerAge> Alive(base::TimePoint now) const { return m_balancers.Alive(now); }
  std::size_t AliveCount(base::TimePoint now) const { return m_balancers.Alive(now).size(); }

  /// Says whether this balancer reads the store; kept up to date by what peers tell.
  StoreReaderRole& Reader() { return m_reader; }

 private:
  void TellSomePeers(std::size_t count, base::TimePoint now,
                     std::vector<OutgoingGreeting>& greetings);
  OutgoingGreeting AskAgent(const base::SocketAddress& address, base::TimePoint now) const;
  BalancerGreeting Brief(bool wants_answer, base::TimePoint now) const;
  BalancerGreeting Sampled(bool wants_answer, base::TimePoint now);
  BalancerGreeting ForAgent(const KnownAgent& agent, base::TimePoint now) const;
  void AnswerWithAll(const base::SocketAddress& receiver, base::TimePoint now,
                     std::vector<OutgoingGreeting>& greetings);
  std::vector<ListedAgent> ListAgents() const;
  void PassOnContact(base::TimePoint now, std::vector<OutgoingGreeting>& greetings);
  void AskListed(std::span<const ListedAgent> agents, base::TimePoint now,
                 std::vector<OutgoingGreeting>& greetings);

  // Datagrams of whole listings that are sent: 400 a second, 480 KB. All balancers of a fleet may
  // start at once and ask the few that their settings name.
  static constexpr std::size_t kListingDatagramsPerPeriod = 40;
  static constexpr base::Duration kListingPeriod = std::chrono::milliseconds(100);

  base::Incarnation m_life;
  BalancerCore& m_core;
  base::RandomSource& m_random;
  BalancerList m_balancers;
  StoreReaderRole m_reader;
  base::TimePoint m_started_at;
  unsigned m_asked_for_all = 0;  // peers that were asked for everything they know
  base::TimePoint m_news_at;     // when a greeting last named a node that wasn't known
  base::RateBudget m_listings{kListingDatagramsPerPeriod, kListingPeriod};
};

}  // namespace gaugevalve::placement
