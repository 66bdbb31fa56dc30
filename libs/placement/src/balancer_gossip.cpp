#include "gaugevalve/placement/balancer_gossip.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::placement {
namespace {

constexpr base::Duration kPeerPeriod = std::chrono::milliseconds(1000);
constexpr base::Duration kJoiningPeriod = std::chrono::milliseconds(50);
constexpr base::Duration kJoiningTime = std::chrono::seconds(5);
constexpr base::Duration kAliveFor = std::chrono::milliseconds(4000);
constexpr base::Duration kForgetAfter = std::chrono::seconds(60);
// Seeds are written to as well until this many others are alive.
constexpr std::size_t kEnoughBalancers = 8;
// Peers greeted in a round, and told of a new configuration. Six more for each that hears it reach
// all of some hundreds within three steps.
constexpr std::size_t kPeersPerRound = 3;
constexpr std::size_t kPeersToldNews = 6;
// What a round's greeting lists of each kind.
constexpr std::size_t kSampleSize = 8;
// What each datagram of a whole listing holds; it stays below 1,400 bytes.
constexpr std::size_t kListingSize = 50;
// A balancer that has just started asks this many peers for everything they know.
constexpr unsigned kListingsAsked = 4;
// An agent hears about this many greetings a second from all balancers together.
constexpr std::size_t kGreetingsPerAgent = 2;

template <class Item>
std::vector<Item> Sample(std::vector<Item> items, std::size_t count, base::RandomSource& random) {
  const std::size_t taken = std::min(count, items.size());
  for (std::size_t index = 0; index < taken; ++index) {
    const std::size_t other = index + random.NextBelow(items.size() - index);
    std::swap(items[index], items[other]);
  }
  items.resize(taken);
  return items;
}

}  // namespace

BalancerGossip::BalancerGossip(const base::SocketAddress& self, base::Incarnation life,
                               BalancerCore& core, base::RandomSource& random, base::TimePoint now)
    : m_life(life),
      m_core(core),
      m_random(random),
      m_balancers(self, kAliveFor),
      m_started_at(now) {}

std::vector<OutgoingGreeting> BalancerGossip::OnGreeting(const BalancerGreeting& greeting,
                                                         const base::SocketAddress& sender,
                                                         base::TimePoint now, bool& is_new) {
  std::vector<OutgoingGreeting> greetings;
  is_new = m_balancers.Note(sender, base::Duration(0), now);
  for (const BalancerAge& balancer : greeting.balancers) {
    if (m_balancers.Note(balancer.address, balancer.age, now)) {
      greetings.push_back(Ask(balancer.address, now));
    }
  }
  for (const ListedAgent& agent : greeting.agents) {
    if (m_core.Agents().Find(agent.address) == nullptr) {
      m_core.Agents().NoteListed(agent.address, agent.service, now);
      greetings.push_back({agent.address, Brief(true)});
    }
  }
  if (greeting.wants_answer) {
    AnswerWithAll(sender, now, greetings);
  }
  return greetings;
}

OutgoingGreeting BalancerGossip::WelcomeAgent(const KnownAgent& agent, base::TimePoint now) const {
  OutgoingGreeting welcome{agent.address, ForAgent(agent, now)};
  if (agent.report.wants_memory && agent.memory) {
    welcome.greeting.memory = agent.memory;
    welcome.greeting.memory_age = now - agent.memory_at;
  }
  return welcome;
}

std::vector<OutgoingGreeting> BalancerGossip::OnNewRoutes(bool is_first, base::TimePoint now) {
  std::vector<OutgoingGreeting> greetings;
  for (const BalancerAge& peer : Sample(m_balancers.Alive(now), kPeersToldNews, m_random)) {
    greetings.push_back({peer.address, Brief(false)});
  }
  if (is_first) {
    for (const KnownAgent* agent : m_core.Agents().All()) {
      greetings.push_back({agent->address, ForAgent(*agent, now)});
    }
  }
  return greetings;
}

OutgoingGreeting BalancerGossip::Ask(const base::SocketAddress& node, base::TimePoint now) {
  const bool wants_answer = m_asked_for_all < kListingsAsked;
  m_asked_for_all += wants_answer ? 1 : 0;
  return {node, Sampled(wants_answer, now)};
}

std::vector<OutgoingGreeting> BalancerGossip::PeerRound(base::TimePoint now) {
  // Peers that were asked first may have been as young as this balancer.
  const bool wants_all = now - m_started_at < kJoiningTime || m_balancers.Alive(now).empty();
  std::vector<OutgoingGreeting> greetings;
  for (const base::SocketAddress& peer :
       Sample(m_balancers.Targets(kEnoughBalancers, now), kPeersPerRound, m_random)) {
    greetings.push_back({peer, Sampled(wants_all, now)});
  }
  return greetings;
}

base::Duration BalancerGossip::PeerPeriod(base::TimePoint now) const {
  const bool is_joining = now - m_started_at < kJoiningTime && AliveCount(now) == 0;
  return is_joining ? kJoiningPeriod : kPeerPeriod;
}

std::vector<OutgoingGreeting> BalancerGossip::AgentRound(base::TimePoint now) {
  const std::vector<const KnownAgent*> agents = m_core.Agents().All();
  const std::size_t balancers = std::max(AliveCount(now) + 1, kGreetingsPerAgent);
  const std::size_t share = (agents.size() * kGreetingsPerAgent + balancers - 1) / balancers;
  std::vector<OutgoingGreeting> greetings;
  for (const KnownAgent* agent : Sample(agents, share, m_random)) {
    greetings.push_back({agent->address, ForAgent(*agent, now)});
  }
  return greetings;
}

void BalancerGossip::Tick(base::TimePoint now) { m_balancers.ForgetSilent(kForgetAfter, now); }

// Without any list: for news.
BalancerGreeting BalancerGossip::Brief(bool wants_answer) const {
  BalancerGreeting greeting;
  greeting.life = m_life;
  greeting.routes_version = m_core.Routes().version;
  greeting.agent_count = m_core.Agents().Size();
  greeting.wants_answer = wants_answer;
  return greeting;
}

BalancerGreeting BalancerGossip::Sampled(bool wants_answer, base::TimePoint now) {
  BalancerGreeting greeting = Brief(wants_answer);
  greeting.balancers = Sample(m_balancers.Alive(now), kSampleSize, m_random);
  greeting.agents = Sample(ListAgents(), kSampleSize, m_random);
  return greeting;
}

BalancerGreeting BalancerGossip::ForAgent(const KnownAgent& agent, base::TimePoint now) const {
  BalancerGreeting greeting = Brief(false);
  greeting.balancers = Sample(m_balancers.Alive(now), kSampleSize, m_random);
  const auto path = m_core.Routes().health_check_paths.find(agent.report.service);
  if (path != m_core.Routes().health_check_paths.end()) {
    greeting.health_check_path = path->second;
  }
  return greeting;
}

void BalancerGossip::AnswerWithAll(const base::SocketAddress& receiver, base::TimePoint now,
                                   std::vector<OutgoingGreeting>& greetings) {
  const std::vector<BalancerAge> balancers = m_balancers.Alive(now);
  const std::vector<ListedAgent> agents = ListAgents();
  const std::size_t most = std::max(balancers.size(), agents.size());
  for (std::size_t first = 0; first == 0 || first < most; first += kListingSize) {
    BalancerGreeting part = Brief(false);
    const auto take = [first](const auto& from, auto& to) {
      const std::size_t begin = std::min(first, from.size());
      const std::size_t end = std::min(first + kListingSize, from.size());
      to.assign(from.begin() + static_cast<std::ptrdiff_t>(begin),
                from.begin() + static_cast<std::ptrdiff_t>(end));
    };
    take(balancers, part.balancers);
    take(agents, part.agents);
    greetings.push_back({receiver, std::move(part)});
  }
}

std::vector<ListedAgent> BalancerGossip::ListAgents() const {
  std::vector<ListedAgent> listed;
  for (const KnownAgent* agent : m_core.Agents().All()) {
    if (agent->report.standing != EndpointStanding::kAbsent) {
      listed.push_back({agent->address, agent->report.service});
    }
  }
  return listed;
}

}  // namespace gaugevalve::placement
