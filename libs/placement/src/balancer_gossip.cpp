#include "gaugevalve/placement/balancer_gossip.h"

#include <algorithm>
#include <utility>

#include "gaugevalve/placement/stored_listing.h"

namespace gaugevalve::placement {
namespace {

constexpr base::Duration kPeerPeriod = std::chrono::milliseconds(1000);
constexpr base::Duration kJoiningPeriod = std::chrono::milliseconds(50);
constexpr base::Duration kJoiningTime = std::chrono::seconds(5);
// A balancer that has just started asks for everything until no listing has named anybody new for
// so long: more than a round of peers. Each listing names the whole fleet.
constexpr base::Duration kNewsTime = std::chrono::milliseconds(1500);
constexpr base::Duration kAliveFor = std::chrono::milliseconds(4000);
constexpr base::Duration kForgetAfter = std::chrono::seconds(60);
// Seeds are written to as well until this many others are alive.
constexpr std::size_t kEnoughBalancers = 8;
// Peers greeted in a round, and told of a new configuration. Six more for each that hears it reach
// all of some hundreds within three steps.
constexpr std::size_t kPeersPerRound = 3;
constexpr std::size_t kPeersToldNews = 6;
// Peers told of a contact with the store: two each reach most of all within some steps, and the
// rounds the others.
constexpr std::size_t kPeersToldContact = 2;
// What a round's greeting lists of each kind.
constexpr std::size_t kSampleSize = 8;
// What each datagram of a whole listing holds; it stays below 1,400 bytes.
constexpr std::size_t kListingSize = 45;
// A balancer that has just started asks this many peers for everything they know.
constexpr unsigned kListingsAsked = 4;
// Agents asked at a tick for the others they know, while some that are said to be there have not
// been named: their first answers may have been lost, or held back as too many asked.
constexpr std::size_t kAgentsAskedAgain = 4;
// Agents and balancers that a greeting of an agent lists.
constexpr std::size_t kAgentsForAgent = 4;
constexpr std::size_t kBalancersForAgent = 6;
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
                               BalancerCore& core, base::RandomSource& random, base::TimePoint now,
                               StoreReaderSettings reader)
    : m_life(life),
      m_core(core),
      m_random(random),
      m_balancers(self, kAliveFor),
      m_reader(self, reader, random, now),
      m_started_at(now),
      m_news_at(now) {}

std::vector<OutgoingGreeting> BalancerGossip::OnGreeting(const BalancerGreeting& greeting,
                                                         const base::SocketAddress& sender,
                                                         base::TimePoint now, bool& is_new) {
  std::vector<OutgoingGreeting> greetings;
  const std::size_t agents_before = m_core.Agents().Size();
  is_new = m_balancers.Note(sender, base::Duration(0), now);
  for (const BalancerAge& balancer : greeting.balancers) {
    if (m_balancers.Note(balancer.address, balancer.age, now)) {
      greetings.push_back(Ask(balancer.address, now));
    }
  }
  if (!greeting.is_learning) {
    m_core.Discovery().NoteAgentCount(greeting.agent_count);
  }
  AskListed(greeting.agents, now, greetings);
  const bool names_agents = m_core.Agents().Size() > agents_before;
  if (is_new || names_agents || !greetings.empty()) {
    m_news_at = now;
  }
  if (m_core.ApplyEvacuatedZones(greeting.evacuated)) {
    TellSomePeers(kPeersToldNews, now, greetings);
  }
  const bool is_timely = !m_core.HasJustWoken(now);
  if (greeting.store_age && is_timely && greeting.routes_version <= m_core.Routes().version) {
    m_reader.NotePeer(*greeting.store_age, now);
    PassOnContact(now, greetings);
  }
  if (greeting.wants_answer) {
    AnswerWithAll(sender, now, greetings);
  }
  return greetings;
}

void BalancerGossip::AskListed(std::span<const ListedAgent> agents, base::TimePoint now,
                               std::vector<OutgoingGreeting>& greetings) {
  for (const ListedAgent& agent : agents) {
    if (m_core.NoteListed(agent, now)) {
      greetings.push_back(AskAgent(agent.address, now));
    }
  }
}

std::vector<OutgoingGreeting> BalancerGossip::OnNamedAgents(std::span<const ListedAgent> fellows,
                                                            base::TimePoint now) {
  std::vector<OutgoingGreeting> greetings;
  AskListed(fellows, now, greetings);
  return greetings;
}

std::vector<OutgoingGreeting> BalancerGossip::OnAgentListing(const AgentListing& listing,
                                                             base::TimePoint now) {
  m_core.Discovery().NoteAgentCount(listing.agent_count);
  return OnNamedAgents(listing.agents, now);
}

AgentListing BalancerGossip::MakeAgentListing(base::TimePoint now) {
  std::vector<ListedAgent> agents = ListAgents();
  std::erase_if(agents,
                [&](const ListedAgent& agent) { return m_core.IsGone(agent.address, now); });
  const std::size_t count = agents.size();
  return {Sample(std::move(agents), StoredListing::kMaxAgents, m_random), count};
}

OutgoingGreeting BalancerGossip::GreetNewAgent(const KnownAgent& agent, base::TimePoint now) {
  OutgoingGreeting welcome{agent.address, ForAgent(agent, now)};
  const bool asks =
      m_core.IsLearning(now) && m_core.Discovery().TakePeerListQuery(m_core.Agents().HeardCount());
  welcome.greeting.wants_answer = asks;
  welcome.greeting.wants_fellows = asks;
  if (agent.report.wants_memory && agent.memory) {
    welcome.greeting.memory = agent.memory;
    welcome.greeting.memory_age = now - agent.memory_at;
  }
  return welcome;
}

std::vector<OutgoingGreeting> BalancerGossip::OnNewRoutes(bool is_first, base::TimePoint now) {
  std::vector<OutgoingGreeting> greetings;
  TellSomePeers(kPeersToldNews, now, greetings);
  if (is_first) {
    for (const KnownAgent* agent : m_core.Agents().All()) {
      greetings.push_back({agent->address, ForAgent(*agent, now)});
    }
  }
  return greetings;
}

std::vector<OutgoingGreeting> BalancerGossip::AskSuspects(base::TimePoint now) {
  std::vector<OutgoingGreeting> greetings;
  for (const base::SocketAddress& agent : m_core.TakeSuspects(now)) {
    greetings.push_back(AskAgent(agent, now));
  }
  return greetings;
}

// Asks for a report, and says what the agent needs for the flows that may follow.
OutgoingGreeting BalancerGossip::AskAgent(const base::SocketAddress& address,
                                          base::TimePoint now) const {
  OutgoingGreeting question{address, Brief(true, now)};
  const KnownAgent* agent = m_core.Agents().Find(address);
  if (agent != nullptr) {
    question.greeting.warm_up = m_core.Routes().FindWarmUpRate(agent->report.service);
  }
  return question;
}

std::vector<OutgoingGreeting> BalancerGossip::OnEvacuation(base::TimePoint now) {
  std::vector<OutgoingGreeting> greetings;
  TellSomePeers(kPeersToldNews, now, greetings);
  return greetings;
}

void BalancerGossip::TellSomePeers(std::size_t count, base::TimePoint now,
                                   std::vector<OutgoingGreeting>& greetings) {
  for (const BalancerAge& peer : Sample(m_balancers.Alive(now), count, m_random)) {
    greetings.push_back({peer.address, Brief(false, now)});
  }
}

OutgoingGreeting BalancerGossip::Ask(const base::SocketAddress& node, base::TimePoint now) {
  const bool wants_answer = m_asked_for_all < kListingsAsked;
  m_asked_for_all += wants_answer ? 1 : 0;
  return {node, Sampled(wants_answer, now)};
}

std::vector<OutgoingGreeting> BalancerGossip::PeerRound(base::TimePoint now) {
  // Peers that were asked first may have been as young as this balancer.
  const bool is_joining = now - m_started_at < kJoiningTime && now - m_news_at < kNewsTime;
  const bool wants_all = is_joining || m_balancers.Alive(now).empty();
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

std::vector<OutgoingGreeting> BalancerGossip::Tick(base::TimePoint now) {
  m_balancers.ForgetSilent(kForgetAfter, now);
  std::vector<OutgoingGreeting> greetings = AskSuspects(now);
  for (const base::SocketAddress& agent : m_core.Discovery().TakeDueQueries(now)) {
    greetings.push_back(AskAgent(agent, now));
  }
  if (m_core.IsLearning(now) && m_core.Discovery().HasUnnamedAgents(m_core.Agents().HeardCount())) {
    for (const ListedAgent& agent : Sample(ListAgents(), kAgentsAskedAgain, m_random)) {
      greetings.push_back({agent.address, Brief(true, now)});
      greetings.back().greeting.wants_fellows = true;
    }
  }
  PassOnContact(now, greetings);
  return greetings;
}

// Tells a few peers that the store was heard; they do the same.
void BalancerGossip::PassOnContact(base::TimePoint now, std::vector<OutgoingGreeting>& greetings) {
  const std::vector<BalancerAge> alive = m_balancers.Alive(now);
  if (alive.size() < StoreReaderRole::kReaders || !m_reader.TakeNews()) {
    return;
  }
  TellSomePeers(kPeersToldContact, now, greetings);
}

// Without any list: for news.
BalancerGreeting BalancerGossip::Brief(bool wants_answer, base::TimePoint now) const {
  BalancerGreeting greeting;
  greeting.life = m_life;
  greeting.routes_version = m_core.Routes().version;
  greeting.agent_count = m_core.Agents().PresentCount();
  greeting.wants_answer = wants_answer;
  greeting.is_learning = m_core.IsLearning(now);
  greeting.store_age = m_reader.Age(now);
  greeting.evacuated = m_core.Evacuated();
  return greeting;
}

BalancerGreeting BalancerGossip::Sampled(bool wants_answer, base::TimePoint now) {
  BalancerGreeting greeting = Brief(wants_answer, now);
  greeting.balancers = Sample(m_balancers.Alive(now), kSampleSize, m_random);
  greeting.agents = Sample(ListAgents(), kSampleSize, m_random);
  return greeting;
}

BalancerGreeting BalancerGossip::ForAgent(const KnownAgent& agent, base::TimePoint now) const {
  BalancerGreeting greeting = Brief(false, now);
  greeting.balancers = Sample(m_balancers.Alive(now), kBalancersForAgent, m_random);
  greeting.agents = Sample(ListAgents(), kAgentsForAgent, m_random);
  greeting.warm_up = m_core.Routes().FindWarmUpRate(agent.report.service);
  const auto classes = m_core.Routes().classes.find(agent.report.service);
  if (classes != m_core.Routes().classes.end()) {
    greeting.classes = classes->second;
  }
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
  if (!m_listings.Take(now, most / kListingSize + 1)) {
    greetings.push_back({receiver, Sampled(false, now)});  // others are named, who can be asked
    return;
  }
  for (std::size_t first = 0; first == 0 || first < most; first += kListingSize) {
    BalancerGreeting part = Brief(false, now);
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
    if (AgentDirectory::IsPresent(*agent)) {
      listed.push_back({agent->address, agent->report.service, agent->zone});
    }
  }
  return listed;
}

}  // namespace gaugevalve::placement
