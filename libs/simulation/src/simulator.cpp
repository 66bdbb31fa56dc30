#include "gaugevalve/simulation/simulator.h"

#include <utility>

namespace gaugevalve::simulation {

// A node's place in the simulation: its present life, and what outlives it.
class Simulator::Slot final : public NodeContext {
 public:
  Slot(Simulator& simulator, NodeIndex index, const NodePlacement& placement, std::uint64_t seed)
      : simulator_(simulator), index_(index), placement_(placement), random_(seed) {}

  // NodeContext
  base::TimePoint Now() const override { return simulator_.Now() + placement_.clock_offset; }
  NodeIndex Index() const override { return index_; }
  const base::SocketAddress& Address() const override { return placement_.address; }
  ZoneIndex Zone() const override { return placement_.zone; }
  base::RandomSource& Random() override { return random_; }

  void Send(const base::SocketAddress& destination, Channel channel, std::string bytes,
            int latency_factor) override {
    ChannelCounters& counters = counters_.channels.at(channel);
    ++counters.sent_messages;
    counters.sent_bytes += bytes.size();
    simulator_.Transmit(*this, {index_, placement_.address, destination, channel, std::move(bytes)},
                        latency_factor);
  }

  void SetTimer(base::Duration delay, TimerToken token) override {
    simulator_.Schedule(delay, [this, token, life = life_] { FireTimer(token, life); });
  }

  void StartLife(std::unique_ptr<SimulatedNode> node) {
    EndLife();
    node_ = std::move(node);
    state_ = NodeState::kRunning;
    node_->OnStart(*this);
  }

  void EndLife() {
    ++life_;
    waiting_.clear();
    state_ = NodeState::kDead;
    node_.reset();
  }

  void Freeze() {
    if (state_ == NodeState::kRunning) {
      state_ = NodeState::kFrozen;
    }
  }

  void Thaw() {
    if (state_ != NodeState::kFrozen) {
      return;
    }
    state_ = NodeState::kRunning;
    std::deque<EventQueue::Action> waiting;
    waiting.swap(waiting_);
    waiting_messages_ = 0;
    for (EventQueue::Action& action : waiting) {
      action();
    }
  }

  void Receive(const Message& message) {
    if (state_ == NodeState::kFrozen) {
      KeepMessage(message);
      return;
    }
    if (state_ == NodeState::kDead) {
      return;
    }
    ChannelCounters& counters = counters_.channels.at(message.channel);
    ++counters.received_messages;
    counters.received_bytes += message.bytes.size();
    node_->OnMessage(message);
  }

  NodeState State() const { return state_; }
  SimulatedNode* Node() { return node_.get(); }
  const NodePlacement& Placement() const { return placement_; }
  const NodeCounters& Counters() const { return counters_; }

 private:
  void FireTimer(TimerToken token, std::uint64_t life) {
    if (life != life_ || state_ == NodeState::kDead) {
      return;
    }
    if (state_ == NodeState::kFrozen) {
      waiting_.emplace_back([this, token, life] { FireTimer(token, life); });
      return;
    }
    node_->OnTimer(token);
  }

  void KeepMessage(const Message& message) {
    if (waiting_messages_ >= kFrozenNodeMessages) {
      ++counters_.dropped_while_frozen;
      return;
    }
    ++waiting_messages_;
    waiting_.emplace_back([this, message, life = life_] {
      if (life == life_) {
        Receive(message);
      }
    });
  }

  Simulator& simulator_;
  NodeIndex index_;
  NodePlacement placement_;
  base::RandomSource random_;
  NodeState state_ = NodeState::kDead;
  std::uint64_t life_ = 0;
  std::unique_ptr<SimulatedNode> node_;
  std::deque<EventQueue::Action> waiting_;  // of a frozen node
  std::size_t waiting_messages_ = 0;
  NodeCounters counters_;
};

Simulator::Simulator(std::uint64_t seed, NetworkModel network)
    : random_(seed), network_(std::move(network)) {}

Simulator::~Simulator() = default;

NodeIndex Simulator::AddNode(const NodePlacement& placement, std::unique_ptr<SimulatedNode> node) {
  const NodeIndex index(static_cast<std::uint32_t>(slots_.size()));
  slots_.push_back(std::make_unique<Slot>(*this, index, placement, random_.NextUint64()));
  by_address_[placement.address] = index;
  slots_.back()->StartLife(std::move(node));
  return index;
}

void Simulator::Kill(NodeIndex node) { At(node).EndLife(); }

void Simulator::Restart(NodeIndex node, std::unique_ptr<SimulatedNode> replacement) {
  by_address_[At(node).Placement().address] = node;
  At(node).StartLife(std::move(replacement));
}

void Simulator::Freeze(NodeIndex node) { At(node).Freeze(); }

void Simulator::Thaw(NodeIndex node) { At(node).Thaw(); }

NodeState Simulator::State(NodeIndex node) const { return At(node).State(); }

SimulatedNode* Simulator::Find(NodeIndex node) { return At(node).Node(); }

const NodePlacement& Simulator::Placement(NodeIndex node) const { return At(node).Placement(); }

const NodeCounters& Simulator::Counters(NodeIndex node) const { return At(node).Counters(); }

void Simulator::Schedule(base::Duration delay, EventQueue::Action action) {
  queue_.Schedule(queue_.Now() + delay, std::move(action));
}

void Simulator::RunFor(base::Duration duration) {
  const base::TimePoint limit = queue_.Now() + duration;
  while (queue_.RunNext(limit)) {
  }
}

bool Simulator::RunUntil(const std::function<bool()>& condition, base::Duration limit) {
  const base::TimePoint end = queue_.Now() + limit;
  while (!condition()) {
    if (!queue_.RunNext(end)) {
      return condition();
    }
  }
  return true;
}

void Simulator::Transmit(const Slot& sender, const Message& message, int latency_factor) {
  const auto receiver = by_address_.find(message.destination);
  if (receiver == by_address_.end()) {
    return;
  }
  const NodeIndex to = receiver->second;
  const NetworkModel::Deliveries deliveries =
      network_.Plan(sender.Index(), sender.Zone(), to, At(to).Zone(), random_);
  for (const base::Duration latency : deliveries) {
    Schedule(latency * latency_factor, [this, message] { Deliver(message); });
  }
}

void Simulator::Deliver(const Message& message) {
  const auto receiver = by_address_.find(message.destination);
  if (receiver != by_address_.end()) {
    At(receiver->second).Receive(message);
  }
}

Simulator::Slot& Simulator::At(NodeIndex node) { return *slots_.at(node.value()); }

const Simulator::Slot& Simulator::At(NodeIndex node) const { return *slots_.at(node.value()); }

}  // namespace gaugevalve::simulation
