#include "flow_world.h"

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

namespace gaugevalve::proofs {
namespace {

constexpr base::ServiceId kService(7);
constexpr base::ServiceId kOtherService(8);
constexpr std::size_t kMostMessages = 64;  // the network loses the oldest beyond that
constexpr base::Duration kFreshnessLimit = flow::OwnershipSettings().freshness_limit;
// The shortest silence after which membership may declare a death.
constexpr base::Duration kShortestSilence = std::chrono::milliseconds(1400);

base::SocketAddress AddressOf(std::size_t agent) {
  return base::SocketAddress::Ipv4(0x7f000001, static_cast<std::uint16_t>(agent));
}

base::NodeId NodeOf(std::size_t agent) { return base::NodeId(agent + 1); }

wire::FlowKey KeyOf(std::size_t flow) {
  return {base::SocketAddress::Ipv4(0xc0000201, static_cast<std::uint16_t>(flow)),
          base::SocketAddress::Ipv4(0xc6336407, 53)};
}

std::vector<SimulatedAgent> MakeAgents(Mutant mutant) {
  std::vector<SimulatedAgent> agents;
  for (std::size_t agent = 0; agent < FlowWorld::kAgents; ++agent) {
    agents.emplace_back(NodeOf(agent), mutant);
    agents.back().Start(kService);
  }
  return agents;
}

}  // namespace

void WorldCounts::Add(const WorldCounts& other) {
  opened += other.opened;
  served += other.served;
  served_on_walk += other.served_on_walk;
  passed_on += other.passed_on;
  put_back += other.put_back;
  for (std::size_t reason = 0; reason < dropped.size(); ++reason) {
    dropped[reason] += other.dropped[reason];
  }
}

FlowWorld::FlowWorld(Mutant mutant)
    : mutant_(mutant),
      planner_(kService, kBuckets, mutant),
      agents_(MakeAgents(mutant)),
      oracle_(agents_, kService, kFreshnessLimit) {
  AdvanceTime(kFreshnessLimit);
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    List(agent);
  }
  SpreadAll();
}

std::size_t FlowWorld::BucketOf(std::size_t flow) { return KeyOf(flow).Hash() % kBuckets; }

void FlowWorld::Send(std::size_t flow, std::size_t balancer) {
  if (std::optional<Datagram> datagram = Route(flow, balancer)) {
    network_.emplace_back(std::move(*datagram));
  }
  if (network_.size() > kMostMessages) {
    network_.erase(network_.begin());
  }
}

void FlowWorld::Deliver(std::size_t number) {
  if (network_.empty()) {
    return;
  }
  const auto chosen = network_.begin() + static_cast<std::ptrdiff_t>(number % network_.size());
  if (!CanReceive(*chosen)) {
    return;
  }
  Message message = std::move(*chosen);
  network_.erase(chosen);
  Handle(std::move(message));
}

void FlowWorld::DeliverLatest() {
  if (!network_.empty()) {
    Deliver(network_.size() - 1);
  }
}

void FlowWorld::Duplicate(std::size_t number) {
  if (!network_.empty()) {
    network_.push_back(Message(network_[number % network_.size()]));
  }
}

void FlowWorld::Lose(std::size_t number) {
  if (!network_.empty()) {
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(number % network_.size()));
  }
}

void FlowWorld::Move(std::size_t bucket, std::size_t agent) {
  planner_.Move(bucket % kBuckets, NodeOf(agent));
}

void FlowWorld::DeclareDead(std::size_t agent) {
  const base::TimePoint confirmed_at = LastConfirmation(agent, planner_.Tables().size());
  const base::Duration silence =
      mutant_ == Mutant::kDeclaresDeadAtOnce ? kShortestSilence : routing::kDeadAgentHold;
  const bool was_silent = now_ - confirmed_at > silence;
  if (!planner_.Lists(NodeOf(agent)) || (!was_silent && !agents_[agent].IsFrozenForLong(now_))) {
    return;
  }
  planner_.DeclareDead(NodeOf(agent));
  oracle_.NoteDeclaredDead(agent, planner_.Newest().version);
}

void FlowWorld::List(std::size_t agent) {
  const SimulatedAgent& life = agents_[agent];
  if (life.State() == ProcessState::kGone || life.Service() != kService) {
    return;
  }
  planner_.List({life.Node(), life.Life(), AddressOf(agent), ""});
}

void FlowWorld::SendTable(std::size_t agent, std::size_t age) {
  const std::vector<TablePointer>& tables = planner_.Tables();
  const std::size_t index = tables.size() - 1 - age % tables.size();
  const bool is_newest = index + 1 == tables.size();
  // A report was answered: the answer names the table that first listed this life of the agent.
  if (is_newest) {
    confirmations_[agent][planner_.ListedSince(NodeOf(agent))] = now_;
  }
  network_.emplace_back(TableMessage{agent, tables[index], LastConfirmation(agent, index)});
}

base::TimePoint FlowWorld::LastConfirmation(std::size_t agent, std::size_t table) const {
  const std::map<std::size_t, base::TimePoint>& confirmations = confirmations_[agent];
  const auto after = confirmations.upper_bound(table);
  return after == confirmations.begin() ? base::TimePoint() : std::prev(after)->second;
}

void FlowWorld::SetBalancerTable(std::size_t balancer, std::size_t age) {
  const std::size_t count = planner_.Tables().size();
  balancer_tables_[balancer] = count - 1 - age % count;
}

void FlowWorld::SendReport(std::size_t agent) {
  if (agents_[agent].IsRunning() && agents_[agent].Service() == kService) {
    network_.emplace_back(agents_[agent].Report());
  }
}

void FlowWorld::Drain(std::size_t agent) {
  if (agents_[agent].IsRunning()) {
    agents_[agent].StartDraining(now_);
  }
}

void FlowWorld::Freeze(std::size_t agent) { agents_[agent].Freeze(now_); }

void FlowWorld::Crash(std::size_t agent) { agents_[agent].Crash(); }

void FlowWorld::Restart(std::size_t agent) {
  if (agents_[agent].State() == ProcessState::kGone) {
    agents_[agent].Start(kService);
  }
}

void FlowWorld::Recycle(std::size_t agent) {
  agents_[agent].Crash();
  agents_[agent].Start(kOtherService);
  routing::BucketTable table;
  table.service = kOtherService;
  table.version = {1, 0, 1};
  table.agents = {{NodeOf(agent), agents_[agent].Life(), AddressOf(agent), ""}};
  table.buckets.assign(kBuckets, {table.version, NodeOf(agent), {}});
  agents_[agent].UpdateTable(table, now_);
}

void FlowWorld::AdvanceTime(base::Duration step) {
  constexpr base::Duration kTickPeriod = std::chrono::milliseconds(500);
  const base::TimePoint end = now_ + step;
  while (now_ < end) {
    now_ = std::min(now_ + kTickPeriod, end);
    for (SimulatedAgent& agent : agents_) {
      if (agent.IsRunning()) {
        agent.Tick(now_);
      }
    }
  }
}

std::optional<FlowWorld::Datagram> FlowWorld::Route(std::size_t flow, std::size_t balancer) const {
  const routing::BucketTable& table = *planner_.Tables()[balancer_tables_[balancer]];
  Datagram datagram;
  datagram.flow = flow;
  datagram.header.service = kService;
  datagram.header.table_version = table.version;
  datagram.header.bucket = table.BucketOf(KeyOf(flow).Hash());
  datagram.header.entry = wire::ResolveBucket(table, datagram.header.bucket);
  const wire::AgentAddress& owner = datagram.header.entry.owner;
  if (owner.node == base::NodeId()) {
    return std::nullopt;
  }
  datagram.header.target = owner.node;
  datagram.header.target_incarnation = owner.incarnation;
  datagram.to = owner.data_address.port;
  return datagram;
}

bool FlowWorld::CanReceive(const Message& message) const {
  if (const auto* const datagram = std::get_if<Datagram>(&message)) {
    return agents_[datagram->to].State() != ProcessState::kFrozen;
  }
  if (const auto* const table = std::get_if<TableMessage>(&message)) {
    return agents_[table->to].State() != ProcessState::kFrozen;
  }
  return true;
}

void FlowWorld::Handle(Message message) {
  if (auto* const datagram = std::get_if<Datagram>(&message)) {
    if (std::optional<Datagram> next = Process(std::move(*datagram))) {
      network_.emplace_back(std::move(*next));
    }
  } else if (const auto* const table = std::get_if<TableMessage>(&message)) {
    if (agents_[table->to].IsRunning() && agents_[table->to].Service() == kService) {
      agents_[table->to].UpdateTable(*table->table, table->confirmed_at);
    }
  } else {
    planner_.HandleReport(std::get<routing::AgentReport>(message));
  }
}

std::optional<FlowWorld::Datagram> FlowWorld::Process(Datagram datagram) {
  last_action_.reset();
  SimulatedAgent& agent = agents_[datagram.to];
  if (!agent.IsRunning()) {
    return std::nullopt;
  }
  last_action_ = agent.Decide(KeyOf(datagram.flow), datagram.header, now_);
  if (const auto* const relay = std::get_if<flow::Relay>(&*last_action_)) {
    NoteRelayed(datagram, relay->is_new);
    return std::nullopt;
  }
  if (const auto* const pass_on = std::get_if<flow::PassOn>(&*last_action_)) {
    ++counts_.passed_on;
    datagram.to = pass_on->next_hop.port;
    return datagram;
  }
  ++counts_.dropped[static_cast<std::size_t>(std::get<flow::DropReason>(*last_action_))];
  return std::nullopt;
}

void FlowWorld::NoteRelayed(const Datagram& datagram, bool is_new) {
  const bool on_walk = datagram.header.walk == wire::ChainWalk::kWalking;
  const bool had_holder = oracle_.HolderOf(KeyOf(datagram.flow)).has_value();
  ++(is_new ? counts_.opened : counts_.served);
  counts_.served_on_walk += on_walk ? 1 : 0;
  counts_.put_back += !is_new && !had_holder ? 1 : 0;
  const std::optional<std::string> rule =
      oracle_.NoteRelayed(datagram.to, KeyOf(datagram.flow), is_new, now_);
  if (rule) {
    Break(*rule);
  }
}

void FlowWorld::Settle() {
  network_.clear();
  AdvanceTime(routing::kDeadAgentHold + base::Duration(1));
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    Thaw(agent);
    const bool serves = agents_[agent].IsRunning() && agents_[agent].Service() == kService;
    if (serves) {
      List(agent);
    } else {
      DeclareDead(agent);
    }
  }
  SpreadAll();
  for (std::size_t flow = 0; flow < kFlows; ++flow) {
    for (std::size_t balancer = 0; balancer < kBalancers; ++balancer) {
      AskForFlow(flow, balancer);
    }
  }
}

// Spreads tables and reports until the planner changes nothing more.
void FlowWorld::SpreadAll() {
  constexpr int kRounds = 3;
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t agent = 0; agent < kAgents; ++agent) {
      SendTable(agent, 0);
      DeliverLatest();
      SendReport(agent);
      DeliverLatest();
    }
  }
  for (std::size_t balancer = 0; balancer < kBalancers; ++balancer) {
    SetBalancerTable(balancer, 0);
  }
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    SendTable(agent, 0);
    DeliverLatest();
  }
}

void FlowWorld::AskForFlow(std::size_t flow, std::size_t balancer) {
  const std::optional<std::size_t> holder = oracle_.HolderOf(KeyOf(flow));
  std::optional<Datagram> datagram = Route(flow, balancer);
  if (!datagram) {
    return;  // no agent is left
  }
  std::size_t at = 0;
  while (datagram) {
    at = datagram->to;
    datagram = Process(std::move(*datagram));
  }
  const auto* const reason = last_action_ ? std::get_if<flow::DropReason>(&*last_action_) : nullptr;
  if (reason != nullptr && *reason == flow::DropReason::kDraining && !holder) {
    return;  // refused, as the planner left the bucket with a leaving agent
  }
  std::ostringstream rule;
  if (!last_action_ || !std::holds_alternative<flow::Relay>(*last_action_)) {
    rule << "flow " << flow << " isn't served once all has settled: "
         << (reason == nullptr ? "lost" : ToString(*reason)) << " at agent " << at;
    Break(rule.str());
  } else if (holder && *holder != at) {
    rule << "flow " << flow << " is broken: agent " << *holder << " holds it, agent " << at
         << " served it";
    Break(rule.str());
  }
}

void FlowWorld::Break(const std::string& rule) {
  if (!violation_) {
    violation_ = rule;
  }
}

}  // namespace gaugevalve::proofs
