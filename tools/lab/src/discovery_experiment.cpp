#include "discovery_experiment.h"

#include <algorithm>
#include <memory>
#include <queue>
#include <utility>
#include <variant>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/placement/agent_reporter.h"
#include "gaugevalve/placement/balancer_gossip.h"

namespace gaugevalve::lab {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kPort = 7000;
constexpr std::uint32_t kFirstBalancer = 0x0a000001;
constexpr std::uint32_t kFirstAgent = 0x0a800001;
constexpr base::Duration kAgentTick = placement::AgentCore::kTickPeriod;
constexpr base::Duration kBalancerTick = milliseconds(250);
// One way between two machines: 0.1 ms within a zone to some milliseconds between zones.
constexpr base::Duration kLeastDelay = std::chrono::microseconds(100);
constexpr base::Duration kDelayRange = milliseconds(3);
// Balancers start within this time of each other, as on the users' machines.
constexpr base::Duration kStartRange = milliseconds(300);
// Agents that the store lists, and how long it takes to answer.
constexpr std::size_t kStoredAgents = 256;
constexpr base::Duration kStoreDelay = milliseconds(8);
// How long agents have run before, so that their rounds have reached their length.
constexpr base::Duration kAgentsAge = std::chrono::seconds(60);
constexpr base::Duration kSample = milliseconds(50);
constexpr std::size_t kSeeds = 3;

base::SocketAddress AddressOf(std::uint32_t first, std::size_t index) {
  return base::SocketAddress::Ipv4(first + static_cast<std::uint32_t>(index), kPort);
}

std::size_t IndexOf(std::uint32_t first, const base::SocketAddress& address) {
  std::uint32_t number = 0;
  for (std::size_t index = 0; index < sizeof number; ++index) {
    number = (number << 8U) | address.address[index];
  }
  return number - first;
}

struct Agent {
  std::unique_ptr<placement::AgentCore> core;
  std::unique_ptr<placement::AgentReporter> reporter;
  std::size_t sent = 0;  // since the balancers' return
};

struct Balancer {
  std::unique_ptr<placement::BalancerCore> core;
  std::unique_ptr<placement::BalancerGossip> gossip;
  std::size_t messages = 0;
};

enum class EventKind : std::uint8_t { kStart, kMessage, kTick, kPeers, kAgents, kStored };

struct Event {
  base::TimePoint at{};
  std::uint64_t order = 0;  // of events at one time
  EventKind kind = EventKind::kTick;
  bool is_agent = false;  // whom it concerns
  std::size_t node = 0;
  base::SocketAddress sender;
  std::shared_ptr<const placement::NodeMessage> message;

  bool operator<(const Event& other) const {
    return std::pair(at, order) > std::pair(other.at, other.order);
  }
};

class Deployment {
 public:
  Deployment(const DiscoverySettings& settings, const DiscoveryVariant& variant)
      : settings_(settings), variant_(variant), random_(settings.seed) {
    MakeAgents();
    balancers_.resize(settings_.balancers);
    for (std::size_t index = 0; index < balancers_.size(); ++index) {
      Schedule(now_ + random_.NextJitter(kStartRange), EventKind::kStart, false, index);
    }
    for (std::size_t index = 0; index < agents_.size(); ++index) {
      Schedule(now_ + random_.NextJitter(kAgentTick), EventKind::kTick, true, index);
    }
  }

  DiscoveryResult Run() {
    const base::TimePoint begin = now_;
    DiscoveryResult result;
    result.servable = settings_.watched;
    result.complete = settings_.watched;
    bool is_servable = false;
    for (base::Duration passed = kSample; passed <= settings_.watched; passed += kSample) {
      HandleUntil(begin + passed);
      if (!is_servable && ServableShare() >= kMost) {
        is_servable = true;
        result.servable = passed;
      }
      if (is_servable && CompleteShare() >= kMost) {
        result.complete = passed;
        break;
      }
    }
    std::size_t messages = 0;
    for (const Balancer& balancer : balancers_) {
      messages += balancer.messages;
    }
    result.messages_per_balancer = messages / balancers_.size();
    for (const Agent& agent : agents_) {
      result.busiest_agents_answers = std::max(result.busiest_agents_answers, agent.sent);
    }
    return result;
  }

 private:
  static constexpr double kMost = 0.9;

  base::ServiceId ServiceOf(std::size_t agent) const {
    return base::ServiceId(static_cast<std::uint32_t>(agent / settings_.agents_per_service + 1));
  }

  std::vector<placement::ListedAgent> SomeAgents(std::size_t count) {
    std::vector<placement::ListedAgent> listed;
    for (std::size_t drawn = 0; drawn < std::min(count, settings_.agents); ++drawn) {
      const std::size_t agent = random_.NextBelow(settings_.agents);
      listed.push_back({AddressOf(kFirstAgent, agent), ServiceOf(agent)});
    }
    return listed;
  }

  // Agents that have run for a while and know all balancers, which have just been lost.
  void MakeAgents() {
    placement::BalancerGreeting greeting;
    greeting.agent_count = settings_.agents;
    for (std::size_t index = 0; index < settings_.balancers; ++index) {
      greeting.balancers.push_back({AddressOf(kFirstBalancer, index), base::Duration(0)});
    }
    now_ = base::TimePoint(kAgentsAge);
    for (std::size_t index = 0; index < settings_.agents; ++index) {
      placement::AgentCoreSettings core;
      core.incarnation = base::Incarnation(random_.NextUint64());
      core.service = ServiceOf(index);
      Agent agent;
      agent.core = std::make_unique<placement::AgentCore>(core);
      agent.reporter = std::make_unique<placement::AgentReporter>(AddressOf(kFirstAgent, index),
                                                                  core.incarnation, *agent.core);
      agent.core->Gate().Announce({.incarnation = {"endpoint"}, .capacity = 2, .sequence = 1},
                                  now_);
      greeting.agents = SomeAgents(placement::PeerAgentList::kLimit);
      bool is_new = false;
      agent.reporter->OnGreeting(greeting, AddressOf(kFirstBalancer, 0), base::TimePoint(), is_new);
      agent.reporter->ReportInTurn(base::TimePoint());
      greeting.agents.clear();
      // Renews what it knows until the loss.
      for (base::TimePoint time{}; time <= now_; time += kAgentTick) {
        if (time.time_since_epoch() % std::chrono::seconds(2) == base::Duration(0)) {
          agent.reporter->OnGreeting(greeting, AddressOf(kFirstBalancer, 0), time, is_new);
        }
        agent.reporter->ReportInTurn(time);
      }
      agents_.push_back(std::move(agent));
    }
  }

  void Schedule(base::TimePoint at, EventKind kind, bool is_agent, std::size_t node) {
    events_.push({at, ++order_, kind, is_agent, node, {}, nullptr});
  }

  void Send(const base::SocketAddress& sender, const base::SocketAddress& receiver,
            std::shared_ptr<const placement::NodeMessage> message) {
    const bool to_agent = !(receiver < AddressOf(kFirstAgent, 0));
    const std::size_t node = IndexOf(to_agent ? kFirstAgent : kFirstBalancer, receiver);
    const base::TimePoint at = now_ + kLeastDelay + random_.NextJitter(kDelayRange);
    events_.push({at, ++order_, EventKind::kMessage, to_agent, node, sender, std::move(message)});
  }

  void SendAll(std::size_t balancer, std::vector<placement::OutgoingGreeting> greetings) {
    balancers_[balancer].messages += greetings.size();
    for (placement::OutgoingGreeting& greeting : greetings) {
      Send(AddressOf(kFirstBalancer, balancer), greeting.receiver,
           std::make_shared<const placement::NodeMessage>(std::move(greeting.greeting)));
    }
  }

  void SendReport(std::size_t agent, placement::OutgoingReport report) {
    if (!variant_.names_fellows) {
      report.report.fellows.clear();
    }
    agents_[agent].sent += report.receivers.size();
    const auto message = std::make_shared<const placement::NodeMessage>(std::move(report.report));
    for (const base::SocketAddress& receiver : report.receivers) {
      Send(AddressOf(kFirstAgent, agent), receiver, message);
    }
  }

  void HandleUntil(base::TimePoint end) {
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.is_agent ? AtAgent(event) : AtBalancer(event);
    }
  }

  void AtAgent(const Event& event) {
    Agent& agent = agents_[event.node];
    if (event.kind == EventKind::kTick) {
      ReportInTurn(event.node);
      Schedule(now_ + kAgentTick, EventKind::kTick, true, event.node);
      return;
    }
    bool is_new = false;
    const auto& greeting = std::get<placement::BalancerGreeting>(*event.message);
    for (placement::OutgoingReport& report :
         agent.reporter->OnGreeting(greeting, event.sender, now_, is_new)) {
      SendReport(event.node, std::move(report));
    }
  }

  void ReportInTurn(std::size_t index) {
    Agent& agent = agents_[index];
    placement::OutgoingReport report = agent.reporter->ReportInTurn(now_);
    if (variant_.spreads_rounds) {
      SendReport(index, std::move(report));
      return;
    }
    // All rounds begin in the middle of the agents' period, as after a start of all.
    const base::Duration period = agent.core->Reports().Period();
    const base::Duration phase = (now_.time_since_epoch() - kAgentsAge + period / 2) % period;
    if (phase < kAgentTick && now_.time_since_epoch() > kAgentsAge + kAgentTick) {
      SendReport(index, agent.reporter->ReportToAll(now_));
    }
  }

  void AtBalancer(const Event& event) {
    if (event.kind == EventKind::kStart) {
      Start(event.node);
      return;
    }
    Balancer& balancer = balancers_[event.node];
    if (!balancer.core) {
      return;  // it hasn't started yet
    }
    placement::BalancerGossip& gossip = *balancer.gossip;
    switch (event.kind) {
      case EventKind::kTick:
        balancer.core->Tick(now_);
        SendAll(event.node, gossip.Tick(now_));
        Schedule(now_ + kBalancerTick, EventKind::kTick, false, event.node);
        break;
      case EventKind::kPeers:
        SendAll(event.node, gossip.PeerRound(now_));
        Schedule(now_ + gossip.PeerPeriod(now_), EventKind::kPeers, false, event.node);
        break;
      case EventKind::kAgents:
        SendAll(event.node, gossip.AgentRound(now_));
        Schedule(now_ + placement::BalancerGossip::kAgentPeriod, EventKind::kAgents, false,
                 event.node);
        break;
      case EventKind::kStored:
        SendAll(event.node, gossip.OnAgentListing({stored_, settings_.agents}, now_));
        break;
      default:
        balancer.messages += 1;
        std::visit([&](const auto& message) { Take(event, message); }, *event.message);
    }
  }

  void Start(std::size_t index) {
    Balancer& balancer = balancers_[index];
    placement::BalancerSettings settings;
    settings.zone = "zone";
    balancer.core = std::make_unique<placement::BalancerCore>(settings, random_, now_);
    balancer.gossip = std::make_unique<placement::BalancerGossip>(
        AddressOf(kFirstBalancer, index), base::Incarnation(random_.NextUint64()), *balancer.core,
        random_, now_);
    std::vector<base::SocketAddress> seeds;
    for (std::size_t seed = 0; seed < std::min(kSeeds, settings_.balancers); ++seed) {
      seeds.push_back(AddressOf(kFirstBalancer, seed));
    }
    balancer.gossip->SetSeeds(seeds);
    for (const EventKind kind : {EventKind::kTick, EventKind::kPeers, EventKind::kAgents}) {
      Schedule(now_, kind, false, index);
    }
    if (variant_.has_store) {
      stored_ = stored_.empty() ? SomeAgents(kStoredAgents) : stored_;
      Schedule(now_ + kStoreDelay, EventKind::kStored, false, index);
    }
  }

  void Take(const Event& event, const placement::AgentReport& report) {
    Balancer& balancer = balancers_[event.node];
    const auto outcome = balancer.core->OnReport(event.sender, report, now_);
    SendAll(event.node, balancer.gossip->OnNamedAgents(report.fellows, now_));
    const placement::KnownAgent* agent = balancer.core->Agents().Find(event.sender);
    if (outcome == placement::ReportOutcome::kNew && agent != nullptr) {
      SendAll(event.node, {balancer.gossip->GreetNewAgent(*agent, now_)});
    }
  }

  void Take(const Event& event, const placement::BalancerGreeting& greeting) {
    bool is_new = false;
    SendAll(event.node,
            balancers_[event.node].gossip->OnGreeting(greeting, event.sender, now_, is_new));
  }

  // The share of pairs of a balancer and a service with half of the service's agents heard.
  double ServableShare() const {
    std::size_t servable = 0;
    std::size_t pairs = 0;
    for (const Balancer& balancer : balancers_) {
      std::vector<std::size_t> heard(settings_.agents / settings_.agents_per_service + 1, 0);
      std::vector<std::size_t> all(heard.size(), 0);
      for (std::size_t agent = 0; agent < settings_.agents; ++agent) {
        ++all[agent / settings_.agents_per_service];
      }
      if (balancer.core) {
        for (const placement::KnownAgent* agent : balancer.core->Agents().All()) {
          heard[agent->report.service.value() - 1] += agent->is_only_listed ? 0 : 1;
        }
      }
      for (std::size_t service = 0; service < all.size(); ++service) {
        pairs += all[service] > 0 ? 1 : 0;
        servable += all[service] > 0 && 2 * heard[service] >= all[service] ? 1 : 0;
      }
    }
    return static_cast<double>(servable) / static_cast<double>(pairs);
  }

  double CompleteShare() const {
    const auto complete =
        std::count_if(balancers_.begin(), balancers_.end(), [this](const Balancer& balancer) {
          return balancer.core && balancer.core->Agents().ReportedCount() == settings_.agents;
        });
    return static_cast<double>(complete) / static_cast<double>(balancers_.size());
  }

  DiscoverySettings settings_;
  DiscoveryVariant variant_;
  base::RandomSource random_;
  base::TimePoint now_{};
  std::vector<Agent> agents_;
  std::vector<Balancer> balancers_;
  std::vector<placement::ListedAgent> stored_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
};

}  // namespace

const std::vector<DiscoveryVariant>& DiscoveryVariants() {
  static const auto* const variants = new std::vector<DiscoveryVariant>{
      {.name = "gaugevalve"},
      {.name = "store down", .has_store = false},
      {.name = "agents name no others", .names_fellows = false},
      {.name = "neither names agents", .names_fellows = false, .has_store = false},
      {.name = "rounds at once, neither names agents",
       .spreads_rounds = false,
       .names_fellows = false,
       .has_store = false}};
  return *variants;
}

DiscoveryResult RunDiscovery(const DiscoverySettings& settings, const DiscoveryVariant& variant) {
  return Deployment(settings, variant).Run();
}

}  // namespace gaugevalve::lab
