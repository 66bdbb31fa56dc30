#include "flow_simulation.h"

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

namespace gaugevalve::proofs {
namespace {

constexpr base::ServiceId kService(7);
constexpr base::ServiceId kOtherService(8);
constexpr std::size_t kMaxMessages = 64;  // beyond that the network loses the oldest one
constexpr base::Duration kFreshnessLimit = flow::OwnershipSettings().freshness_limit;
// Shortest silence after which membership may declare an agent dead.
constexpr base::Duration kMinSilence = std::chrono::milliseconds(1400);

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
  for (std::size_t agent = 0; agent < FlowSimulation::kAgents; ++agent) {
    agents.emplace_back(NodeOf(agent), mutant);
    agents.back().Start(kService);
  }
  return agents;
}

}  // namespace

void SimulationCounts::Add(const SimulationCounts& other) {
  opened += other.opened;
  served += other.served;
  served_on_walk += other.served_on_walk;
  passed_on += other.passed_on;
  recovered += other.recovered;
  for (std::size_t reason = 0; reason < dropped.size(); ++reason) {
    dropped[reason] += other.dropped[reason];
  }
}

FlowSimulation::FlowSimulation(Mutant mutant)
    : mutant_(mutant),
      planner_(kService, kBuckets, mutant),
      agents_(MakeAgents(mutant)),
      oracle_(agents_, kService, kFreshnessLimit) {
  AdvanceTime(kFreshnessLimit);
  for (std::size_t agent = 0; agent < kAgents; ++agent) {
    List(agent);
  }
  PropagateAll();
}

std::size_t FlowSimulation::BucketOf(std::size_t flow) { return KeyOf(flow).Hash() % kBuckets; }

void FlowSimulation::Send(std::size_t flow, std::size_t balancer) {
  if (std::optional<Datagram> datagram = Route(flow, balancer)) {
    network_.emplace_back(std::move(*datagram));
  }
  if (network_.size() > kMaxMessages) {
    network_.erase(network_.begin());
  }
}

void FlowSimulation::Deliver(std::size_t number) {
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

void FlowSimulation::DeliverLatest() {
  if (!network_.empty()) {
    Deliver(network_.size() - 1);
  }
}

void FlowSimulation::Duplicate(std::size_t number) {
  if (!network_.empty()) {
    network_.push_back(Message(network_[number % network_.size()]));
  }
}

void FlowSimulation::Lose(std::size_t number) {
  if (!network_.empty()) {
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(number % network_.size()));
  }
}

void FlowSimulation::Move(std::size_t bucket, std::size_t agent) {
  planner_.Move(bucket % kBuckets, NodeOf(agent));
}

void FlowSimulation::DeclareDead(std::size_t agent) {
  const base::TimePoint confirmed_at = LastConfirmation(agent, planner_.Tables().size());
  const base::Duration min_silence =
      mutant_ == Mutant::kDeclaresDeadAtOnce ? kMinSilence : routing::kDeadAgentHold;
  const bool was_silent = now_ - confirmed_at > min_silence;
  if (!planner_.Lists(NodeOf(agent)) || (!was_silent && !agents_[agent].IsFrozenForLong(now_))) {
    return;
  }
  planner_.DeclareDead(NodeOf(agent));
  oracle_.NoteDeclaredDead(agent, planner_.Newest().version);
}

void FlowSimulation::List(std::size_t agent) {
  const SimulatedAgent& candidate = agents_[agent];
  if (candidate.State() == ProcessState::kGone || candidate.Service() != kService) {
    return;
  }
  planner_.List({candidate.Node(), candidate.CurrentIncarnation(), AddressOf(agent), ""});
}

void FlowSimulation::SendTable(std::size_t agent, std::size_t age) {
  const std::vector<TablePointer>& tables = planner_.Tables();
  const std::size_t index = tables.size() - 1 - age % tables.size();
  const bool is_newest = index + 1 == tables.size();
  // The planner answered a report: the answer names the table that first listed this incarnation of
  // the agent.
  if (is_newest) {
    confirmations_[agent][planner_.ListedSince(NodeOf(agent))] = now_;
  }
  network_.emplace_back(TableMessage{agent, tables[index], LastConfirmation(agent, index)});
}

base::TimePoint FlowSimulation::LastConfirmation(std::size_t agent, std::size_t table) const {
  const std::map<std::size_t, base::TimePoint>& confirmations = confirmations_[agent];
  const auto after = confirmations.upper_bound(table);
  return after == confirmations.begin() ? base::TimePoint() : std::prev(after)->second;
}

void FlowSimulation::SetBalancerTable(std::size_t balancer, std::size_t age) {
  const std::size_t count = planner_.Tables().size();
  balancer_tables_[balancer] = count - 1 - age % count;
}

void FlowSimulation::SendReport(std::size_t agent) {
  if (agents_[agent].IsRunning() && agents_[agent].Service() == kService) {
    network_.emplace_back(agents_[agent].Report());
  }
}

void FlowSimulation::Drain(std::size_t agent) {
  if (agents_[agent].IsRunning()) {
    agents_[agent].StartDraining(now_);
  }
}

void FlowSimulation::Freeze(std::size_t agent) { agents_[agent].Freeze(now_); }

void FlowSimulation::Crash(std::size_t agent) { agents_[agent].Crash(); }

void FlowSimulation::Restart(std::size_t agent) {
  if (agents_[agent].State() == ProcessState::kGone) {
    agents_[agent].Start(kService);
  }
}

void FlowSimulation::ReassignToOtherService(std::size_t agent) {
  agents_[agent].Crash();
  agents_[agent].Start(kOtherService);
  routing::BucketTable table;
  table.service = kOtherService;
  table.version = {1, 0, 1};
  table.agents = {{NodeOf(agent), agents_[agent].CurrentIncarnation(), AddressOf(agent), ""}};
  table.buckets.assign(kBuckets, {table.version, NodeOf(agent), {}});
  agents_[agent].UpdateTable(table, now_);
}

void FlowSimulation::AdvanceTime(base::Duration step) {
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

std::optional<FlowSimulation::Datagram> FlowSimulation::Route(std::size_t flow,
                                                              std::size_t balancer) const {
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

bool FlowSimulation::CanReceive(const Message& message) const {
  if (const auto* const datagram = std::get_if<Datagram>(&message)) {
    return agents_[datagram->to].State() != ProcessState::kFrozen;
  }
  if (const auto* const table = std::get_if<TableMessage>(&message)) {
    return agents_[table->to].State() != ProcessState::kFrozen;
  }
  return true;
}

void FlowSimulation::Handle(Message message) {
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

std::optional<FlowSimulation::Datagram> FlowSimulation::Process(Datagram datagram) {
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

void FlowSimulation::NoteRelayed(const Datagram& datagram, bool is_new) {
  const bool on_walk = datagram.header.walk == wire::ChainWalk::kWalking;
  const bool had_holder = oracle_.HolderOf(KeyOf(datagram.flow)).has_value();
  ++(is_new ? counts_.opened : counts_.served);
  counts_.served_on_walk += on_walk ? 1 : 0;
  counts_.recovered += !is_new && !had_holder ? 1 : 0;
  const std::optional<std::string> rule =
      oracle_.NoteRelayed(datagram.to, KeyOf(datagram.flow), is_new, now_);
  if (rule) {
    RecordViolation(*rule);
  }
}

void FlowSimulation::SettleAndCheck() {
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
  PropagateAll();
  for (std::size_t flow = 0; flow < kFlows; ++flow) {
    for (std::size_t balancer = 0; balancer < kBalancers; ++balancer) {
      CheckFlowIsServed(flow, balancer);
    }
  }
}

// Delivers tables and reports until the planner makes no more changes.
void FlowSimulation::PropagateAll() {
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

void FlowSimulation::CheckFlowIsServed(std::size_t flow, std::size_t balancer) {
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
    return;  // refused because the planner left the bucket with a draining agent
  }
  std::ostringstream rule;
  if (!last_action_ || !std::holds_alternative<flow::Relay>(*last_action_)) {
    rule << "flow " << flow << " is not served after the adversary stopped: "
         << (reason == nullptr ? "lost" : ToString(*reason)) << " at agent " << at;
    RecordViolation(rule.str());
  } else if (holder && *holder != at) {
    rule << "flow " << flow << " is served by the wrong agent: agent " << *holder
         << " holds it, agent " << at << " served it";
    RecordViolation(rule.str());
  }
}

void FlowSimulation::RecordViolation(const std::string& rule) {
  if (!violation_) {
    violation_ = rule;
  }
}

}  // namespace gaugevalve::proofs
