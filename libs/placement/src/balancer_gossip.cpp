#include "gaugevalve/placement/balancer_gossip.h"

#include <algorithm>
#include <utility>

#include "gaugevalve/placement/stored_listing.h"

namespace gaugevalve::placement {
namespace {

constexpr base::Duration kPeerPeriod = std::chrono::milliseconds(1000);
constexpr base::Duration kJoiningPeriod = std::chrono::milliseconds(50);
constexpr base::Duration kJoiningTime = std::chrono::seconds(5);
// A balancer that has just started requests full listings until no greeting has named a new node
// for this time, which is longer than a round. The limit matters because each listing names the
// whole fleet.
constexpr base::Duration kFullListingQuietPeriod = std::chrono::milliseconds(1500);
constexpr base::Duration kAliveTimeout = std::chrono::milliseconds(4000);
constexpr base::Duration kForgetAfter = std::chrono::seconds(60);
// Seeds are greeted as well while fewer than this many other balancers are alive.
constexpr std::size_t kMinAliveWithoutSeeds = 8;
// Number of peers greeted in a round, and number of peers notified of a change. With six further
// peers notified by each receiver, a change reaches some hundreds of balancers within three hops.
constexpr std::size_t kPeersPerRound = 3;
constexpr std::size_t kPeersNotifiedOfChange = 6;
// Number of peers notified of a contact with the store. With two per receiver the contact reaches
// most balancers within a few hops; rounds reach the others.
constexpr std::size_t kPeersNotifiedOfContact = 2;
// Number of balancers, and of agents, listed in a round's greeting.
constexpr std::size_t kSampleSize = 8;
// Number of balancers, and of agents, in each datagram of a full listing. Datagrams stay below
// 1,400 bytes.
constexpr std::size_t kListingPartSize = 45;
// Maximum number of full listings that Ask() requests from peers named by other nodes.
constexpr unsigned kMaxFullListingRequests = 4;
// Number of agents asked per tick for the other agents that they know, while fewer agents have been
// named than are reported to exist. First answers may be lost, or suppressed by the rate limit.
constexpr std::size_t kAgentsRequeriedPerTick = 4;
// Numbers of agents and balancers listed in a greeting to an agent.
constexpr std::size_t kAgentsForAgent = 4;
constexpr std::size_t kBalancersForAgent = 6;
// Approximate number of greetings a second that an agent gets from all balancers together.
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

BalancerGossip::BalancerGossip(const base::SocketAddress& self, base::Incarnation incarnation,
                               BalancerCore& core, base::RandomSource& random, base::TimePoint now,
                               StoreReaderSettings reader)
    : m_incarnation(incarnation),
      m_core(core),
      m_random(random),
      m_balancers(self, kAliveTimeout),
      m_reader(self, reader, random, now),
      m_started_at(now),
      m_last_new_node_at(now) {}

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
    m_last_new_node_at = now;
  }
  if (m_core.ApplyEvacuatedZones(greeting.evacuated)) {
    NotifyRandomPeers(kPeersNotifiedOfChange, now, greetings);
  }
  const bool is_timely = !m_core.HasJustResumed(now);
  if (greeting.store_age && is_timely && greeting.routes_version <= m_core.Routes().version) {
    m_reader.NotePeer(*greeting.store_age, now);
    GossipStoreContact(now, greetings);
  }
  if (greeting.wants_answer) {
    SendFullListing(sender, now, greetings);
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
  OutgoingGreeting welcome{agent.address, GreetingForAgent(agent, now)};
  const bool asks = m_core.IsLearning(now) &&
                    m_core.Discovery().TakePeerListQuery(m_core.Agents().ReportedCount());
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
  NotifyRandomPeers(kPeersNotifiedOfChange, now, greetings);
  if (is_first) {
    for (const KnownAgent* agent : m_core.Agents().All()) {
      greetings.push_back({agent->address, GreetingForAgent(*agent, now)});
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

// Returns a query for a report. It carries the warm-up rate, which the agent needs for new flows.
OutgoingGreeting BalancerGossip::AskAgent(const base::SocketAddress& address,
                                          base::TimePoint now) const {
  OutgoingGreeting question{address, GreetingWithoutLists(true, now)};
  const KnownAgent* agent = m_core.Agents().Find(address);
  if (agent != nullptr) {
    question.greeting.warm_up = m_core.Routes().FindWarmUpRate(agent->report.service);
  }
  return question;
}

std::vector<OutgoingGreeting> BalancerGossip::OnEvacuation(base::TimePoint now) {
  std::vector<OutgoingGreeting> greetings;
  NotifyRandomPeers(kPeersNotifiedOfChange, now, greetings);
  return greetings;
}

void BalancerGossip::NotifyRandomPeers(std::size_t count, base::TimePoint now,
                                       std::vector<OutgoingGreeting>& greetings) {
  for (const BalancerAge& peer : Sample(m_balancers.Alive(now), count, m_random)) {
    greetings.push_back({peer.address, GreetingWithoutLists(false, now)});
  }
}

OutgoingGreeting BalancerGossip::Ask(const base::SocketAddress& node, base::TimePoint now) {
  const bool wants_answer = m_full_listings_requested < kMaxFullListingRequests;
  m_full_listings_requested += wants_answer ? 1 : 0;
  return {node, GreetingWithSamples(wants_answer, now)};
}

std::vector<OutgoingGreeting> BalancerGossip::PeerRound(base::TimePoint now) {
  // Requests are repeated, because the first peers may have just started as well.
  const bool is_joining =
      now - m_started_at < kJoiningTime && now - m_last_new_node_at < kFullListingQuietPeriod;
  const bool wants_all = is_joining || m_balancers.Alive(now).empty();
  std::vector<OutgoingGreeting> greetings;
  for (const base::SocketAddress& peer :
       Sample(m_balancers.Targets(kMinAliveWithoutSeeds, now), kPeersPerRound, m_random)) {
    greetings.push_back({peer, GreetingWithSamples(wants_all, now)});
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
    greetings.push_back({agent->address, GreetingForAgent(*agent, now)});
  }
  return greetings;
}

std::vector<OutgoingGreeting> BalancerGossip::Tick(base::TimePoint now) {
  m_balancers.ForgetSilent(kForgetAfter, now);
  std::vector<OutgoingGreeting> greetings = AskSuspects(now);
  for (const base::SocketAddress& agent : m_core.Discovery().TakeDueQueries(now)) {
    greetings.push_back(AskAgent(agent, now));
  }
  if (m_core.IsLearning(now) &&
      m_core.Discovery().HasUnnamedAgents(m_core.Agents().ReportedCount())) {
    for (const ListedAgent& agent : Sample(ListAgents(), kAgentsRequeriedPerTick, m_random)) {
      greetings.push_back({agent.address, GreetingWithoutLists(true, now)});
      greetings.back().greeting.wants_fellows = true;
    }
  }
  GossipStoreContact(now, greetings);
  return greetings;
}

// Notifies a few peers of a new contact with the store; they notify further ones.
void BalancerGossip::GossipStoreContact(base::TimePoint now,
                                        std::vector<OutgoingGreeting>& greetings) {
  const std::vector<BalancerAge> alive = m_balancers.Alive(now);
  if (alive.size() < StoreReaderRole::kReaders || !m_reader.TakeContactUpdate()) {
    return;
  }
  NotifyRandomPeers(kPeersNotifiedOfContact, now, greetings);
}

// Returns a greeting without lists of nodes, for notifications of changes and queries.
BalancerGreeting BalancerGossip::GreetingWithoutLists(bool wants_answer,
                                                      base::TimePoint now) const {
  BalancerGreeting greeting;
  greeting.incarnation = m_incarnation;
  greeting.routes_version = m_core.Routes().version;
  greeting.agent_count = m_core.Agents().PresentCount();
  greeting.wants_answer = wants_answer;
  greeting.is_learning = m_core.IsLearning(now);
  greeting.store_age = m_reader.Age(now);
  greeting.evacuated = m_core.Evacuated();
  return greeting;
}

BalancerGreeting BalancerGossip::GreetingWithSamples(bool wants_answer, base::TimePoint now) {
  BalancerGreeting greeting = GreetingWithoutLists(wants_answer, now);
  greeting.balancers = Sample(m_balancers.Alive(now), kSampleSize, m_random);
  greeting.agents = Sample(ListAgentsAndStopping(now), kSampleSize, m_random);
  return greeting;
}

BalancerGreeting BalancerGossip::GreetingForAgent(const KnownAgent& agent,
                                                  base::TimePoint now) const {
  BalancerGreeting greeting = GreetingWithoutLists(false, now);
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

void BalancerGossip::SendFullListing(const base::SocketAddress& receiver, base::TimePoint now,
                                     std::vector<OutgoingGreeting>& greetings) {
  const std::vector<BalancerAge> balancers = m_balancers.Alive(now);
  const std::vector<ListedAgent> agents = ListAgentsAndStopping(now);
  const std::size_t most = std::max(balancers.size(), agents.size());
  if (!m_listings.Take(now, most / kListingPartSize + 1)) {
    // Over the rate limit, the receiver gets a sample: it can ask the balancers in it.
    greetings.push_back({receiver, GreetingWithSamples(false, now)});
    return;
  }
  for (std::size_t first = 0; first == 0 || first < most; first += kListingPartSize) {
    BalancerGreeting part = GreetingWithoutLists(false, now);
    const auto take = [first](const auto& from, auto& to) {
      const std::size_t begin = std::min(first, from.size());
      const std::size_t end = std::min(first + kListingPartSize, from.size());
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

// Returns also the agents that have announced that they stop: a balancer that starts while they
// restart would otherwise take their silence for a loss.
std::vector<ListedAgent> BalancerGossip::ListAgentsAndStopping(base::TimePoint now) const {
  std::vector<ListedAgent> listed = ListAgents();
  for (const KnownAgent* agent : m_core.Agents().All()) {
    const bool is_stopping = agent->report.standing == EndpointStanding::kStopping;
    if (is_stopping && m_core.MayHoldFlows(*agent, now)) {
      listed.push_back({agent->address, agent->report.service, agent->zone, true});
    }
  }
  return listed;
}

}  // namespace gaugevalve::placement
