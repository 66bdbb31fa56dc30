/// @file
/// What an agent tells balancers about itself and other agents, and to whom.
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

/// One report and the balancers it goes to.
struct OutgoingReport {
  AgentReport report;
  std::vector<base::SocketAddress> receivers;
};

/// Decision core: an agent's counterpart of BalancerGossip. It knows balancers and a part of the
/// other agents from greetings, and outlives all balancers: those that start again hear of it in
/// its round of reports, and of the other agents by asking it. Not thread-safe.
class AgentReporter {
 public:
  /// @param self  the address under which nodes reach this agent
  /// @param core  makes the reports; must outlive this object
  AgentReporter(const base::SocketAddress& self, base::Incarnation life, AgentCore& core);

  /// Sets the addresses that are told while fewer than a few balancers are alive.
  void SetSeeds(std::vector<base::SocketAddress> seeds) { m_balancers.SetSeeds(std::move(seeds)); }

  /// Takes what a balancer tells.
  /// @param is_new  set to whether the sender wasn't known as alive
  /// @return  the answers, and reports to balancers that were not known
  std::vector<OutgoingReport> OnGreeting(const BalancerGreeting& greeting,
                                         const base::SocketAddress& sender, base::TimePoint now,
                                         bool& is_new);

  /// Returns the report to all balancers at once, for news.
  OutgoingReport ReportToAll(base::TimePoint now);

  /// Returns the report to those whose turn in the present round has come; begins the next round
  /// when it is time. Call every AgentCore::kTickPeriod.
  OutgoingReport ReportInTurn(base::TimePoint now);

  /// Returns whether no balancer seems to be there, so that others have to be looked for.
  bool HasNoBalancer(base::TimePoint now) const;

  /// Returns how many questions got no answer since they came too fast.
  std::uint64_t SuppressedAnswerCount() const { return m_answers_left_out; }

 private:
  std::vector<base::SocketAddress> Targets(base::TimePoint now) const;

  base::Incarnation m_life;
  AgentCore& m_core;
  BalancerList m_balancers;
  PeerAgentList m_fellows;
  base::TimePoint m_greeted_at{};  // by any balancer
  std::uint64_t m_answers_left_out = 0;
};

}  // namespace gaugevalve::placement
