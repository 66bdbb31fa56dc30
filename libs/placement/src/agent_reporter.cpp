#include "gaugevalve/placement/agent_reporter.h"

namespace gaugevalve::placement {
namespace {

constexpr base::Duration kAliveFor = std::chrono::milliseconds(4000);
constexpr base::Duration kForgetAfter = std::chrono::seconds(60);
// Seeds are written to as well until this many others are alive.
constexpr std::size_t kEnoughBalancers = 8;
// Balancers greet an agent twice a second. After this silence all that it knows have gone, but for
// one case in a hundred; others may have taken their place at other addresses.
constexpr base::Duration kGreetingSilence = std::chrono::milliseconds(2500);

}  // namespace

AgentReporter::AgentReporter(const base::SocketAddress& self, base::Incarnation life,
                             AgentCore& core)
    : m_life(life), m_core(core), m_balancers(self, kAliveFor), m_fellows(self) {}

std::vector<base::SocketAddress> AgentReporter::Targets(base::TimePoint now) const {
  return m_balancers.Targets(kEnoughBalancers, now);
}

std::vector<OutgoingReport> AgentReporter::OnGreeting(const BalancerGreeting& greeting,
                                                      const base::SocketAddress& sender,
                                                      base::TimePoint now, bool& is_new) {
  m_greeted_at = now;
  is_new = m_balancers.Note(sender, base::Duration(0), now);
  if (!greeting.is_learning) {
    m_core.Reports().SetAgentCount(greeting.agent_count);
  }
  m_fellows.Take(greeting.agents);
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
  // Balancers that start together ask at the same moment.
  if (!m_core.Reports().TakeAnswer(now)) {
    ++m_answers_left_out;
    return reports;
  }
  OutgoingReport answer{m_core.MakeReport(now), {sender}};
  if (greeting.wants_fellows) {
    answer.report.fellows = m_fellows.List();
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
    m_core.Reports().BeginRound(Targets(now), m_life.value(), now);
  }
  std::vector<base::SocketAddress> share = m_core.Reports().TakeShare(now);
  if (share.empty()) {
    return {};
  }
  return {m_core.MakeReport(now), std::move(share)};
}

bool AgentReporter::HasNoBalancer(base::TimePoint now) const {
  return now - m_greeted_at >= kGreetingSilence || m_balancers.Alive(now).empty();
}

}  // namespace gaugevalve::placement
