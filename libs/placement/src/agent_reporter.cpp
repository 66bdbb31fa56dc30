#include "gaugevalve/placement/agent_reporter.h"

namespace gaugevalve::placement {
namespace {

constexpr base::Duration kAliveFor = std::chrono::milliseconds(4000);
constexpr base::Duration kForgetAfter = std::chrono::seconds(60);
// Reports also go to seeds until this many other balancers are alive.
constexpr std::size_t kMinAliveBalancers = 8;
// Balancers greet an agent twice a second. After this long without a greeting, all known balancers
// have gone, except in one case in a hundred. Other balancers may have started at other addresses.
constexpr base::Duration kGreetingTimeout = std::chrono::milliseconds(2500);

}  // namespace

AgentReporter::AgentReporter(const base::SocketAddress& self, base::Incarnation incarnation,
                             AgentCore& core)
    : m_incarnation(incarnation), m_core(core), m_balancers(self, kAliveFor), m_peer_agents(self) {}

std::vector<base::SocketAddress> AgentReporter::Targets(base::TimePoint now) const {
  return m_balancers.Targets(kMinAliveBalancers, now);
}

std::vector<OutgoingReport> AgentReporter::OnGreeting(const BalancerGreeting& greeting,
                                                      const base::SocketAddress& sender,
                                                      base::TimePoint now, bool& is_new) {
  m_greeted_at = now;
  is_new = m_balancers.Note(sender, base::Duration(0), now);
  if (!greeting.is_learning) {
    m_core.Reports().SetAgentCount(greeting.agent_count);
  }
  m_peer_agents.Take(greeting.agents);
  std::vector<base::SocketAddress> unknown;
  for (const BalancerAge& balancer : greeting.balancers) {
    if (m_balancers.Note(balancer.address, balancer.age, now)) {
      unknown.push_back(balancer.address);
    }
  }
  std::vector<OutgoingReport> reports;
  if (!unknown.empty()) {
    reports.push_back({m_core.MakeReport(now), std::move(unknown)});
  }
  if (!is_new && !greeting.wants_answer) {
    return reports;
  }
  // Balancers that start together greet at the same moment, so answers are rate-limited.
  if (!m_core.Reports().TakeAnswer(now)) {
    ++m_suppressed_answers;
    return reports;
  }
  OutgoingReport answer{m_core.MakeReport(now), {sender}};
  if (greeting.wants_fellows) {
    answer.report.fellows = m_peer_agents.List();
  }
  reports.push_back(std::move(answer));
  return reports;
}

OutgoingReport AgentReporter::ReportToAll(base::TimePoint now) {
  std::vector<base::SocketAddress> targets = Targets(now);
  m_core.Reports().NoteRound(targets.size(), now);
  return {m_core.MakeReport(now), std::move(targets)};
}

OutgoingReport AgentReporter::ReportInTurn(base::TimePoint now) {
  if (m_core.Reports().IsRoundDue(now)) {
    m_balancers.ForgetSilent(kForgetAfter, now);
    m_core.Reports().BeginRound(Targets(now), m_incarnation.value(), now);
  }
  std::vector<base::SocketAddress> share = m_core.Reports().TakeShare(now);
  if (share.empty()) {
    return {};
  }
  return {m_core.MakeReport(now), std::move(share)};
}

bool AgentReporter::HasNoBalancer(base::TimePoint now) const {
  return now - m_greeted_at >= kGreetingTimeout || m_balancers.Alive(now).empty();
}

}  // namespace gaugevalve::placement
