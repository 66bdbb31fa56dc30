/// @file
/// Reports of an agent to balancers on itself and on other agents.
#pragma once

#include <cstdint>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/agent_core.h"
#include "gaugevalve/placement/balancer_list.h"
#include "gaugevalve/placement/node_message.h"
#include "gaugevalve/placement/peer_agent_list.h"

namespace gaugevalve::placement {

/// A report and its receivers.
struct OutgoingReport {
  AgentReport report;
  std::vector<base::SocketAddress> receivers;
};

/// Decision core; the agent-side counterpart of BalancerGossip. It learns of balancers and of a
/// sample of the other agents from greetings, and keeps both when all balancers are lost. Restarted
/// balancers receive the agent's periodic report and can then ask it for the other agents. Not
/// thread-safe.
class AgentReporter {
 public:
  /// @param self  address under which nodes reach this agent
  /// @param core  creates the reports; must outlive this object
  AgentReporter(const base::SocketAddress& self, base::Incarnation incarnation, AgentCore& core);

  /// Sets addresses that also receive reports while only a few balancers are alive.
  void SetSeeds(std::vector<base::SocketAddress> seeds) { m_balancers.SetSeeds(std::move(seeds)); }

  /// Processes a balancer's greeting.
  /// @param is_new  set to whether the sender was not known to be alive
  /// @return  the answer, and reports to balancers that were unknown before
  std::vector<OutgoingReport> OnGreeting(const BalancerGreeting& greeting,
                                         const base::SocketAddress& sender, base::TimePoint now,
                                         bool& is_new);

  /// Returns a report to all balancers, for changes that have to be known at once.
  OutgoingReport ReportToAll(base::TimePoint now);

  /// Returns the report to the balancers that are due in the current round, and starts the next
  /// round when it is due. Call every AgentCore::kTickPeriod.
  OutgoingReport ReportInTurn(base::TimePoint now);

  /// Returns whether no known balancer seems to be alive, so that the agent has to look for others.
  bool HasNoBalancer(base::TimePoint now) const;

  /// Returns the number of greetings left unanswered because of the rate limit.
  std::uint64_t SuppressedAnswerCount() const { return m_suppressed_answers; }

 private:
  std::vector<base::SocketAddress> Targets(base::TimePoint now) const;

  base::Incarnation m_incarnation;
  AgentCore& m_core;
  BalancerList m_balancers;
  PeerAgentList m_peer_agents;
  base::TimePoint m_greeted_at{};  // last greeting from any balancer
  std::uint64_t m_suppressed_answers = 0;
};

}  // namespace gaugevalve::placement
