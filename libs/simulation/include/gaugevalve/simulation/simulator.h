// A deterministic discrete-event simulator: thousands of nodes in one process, in simulated time.
//
// A run is a function of the seed and of the calls made: there is no thread, no wall clock and no
// dependence on addresses in memory. Typical use:
//
//   Simulator simulator(seed, NetworkModel({{"north", "zone-1"}}, {}));
//   const NodeIndex node = simulator.AddNode({.zone = ZoneIndex(0), .address = address}, Make());
//   simulator.Schedule(std::chrono::seconds(5), [&] { simulator.Kill(node); });
//   simulator.RunFor(std::chrono::seconds(60));
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/simulation/event_queue.h"
#include "gaugevalve/simulation/network_model.h"
#include "gaugevalve/simulation/simulated_node.h"

namespace gaugevalve::simulation {

// Where a node is.
struct NodePlacement {
  ZoneIndex zone;
  base::SocketAddress address;
  // Added to the node's own clock: monotonic clocks of different machines have nothing in common.
  base::Duration clock_offset{0};
};

// Traffic of one node on one channel. Bytes are those given to Send(), without headers.
struct ChannelCounters {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
};

// Traffic of one node, over all its lives.
struct NodeCounters {
  std::array<ChannelCounters, kChannels> channels{};  // index = Channel
  std::uint64_t dropped_while_frozen = 0;             // more than a frozen node's buffers hold
};

// Whether a node runs.
enum class NodeState : std::uint8_t { kRunning, kFrozen, kDead };

// Runs nodes, their messages and their timers in simulated time. Not thread-safe.
class Simulator {
 public:
  // Messages kept for a frozen node, as its socket buffers would; later ones are dropped.
  static constexpr std::size_t kFrozenNodeMessages = 1024;

  Simulator(std::uint64_t seed, NetworkModel network);
  ~Simulator();
  Simulator(const Simulator&) = delete;
  Simulator& operator=(const Simulator&) = delete;

  // Adds a node and starts it now. An address that another node had goes over to the new one.
  NodeIndex AddNode(const NodePlacement& placement, std::unique_ptr<SimulatedNode> node);

  // Ends a node's life at once, without a farewell. Its timers are gone, and what arrives before a
  // restart is lost. Not to be called from within a callback of that node.
  void Kill(NodeIndex node);
  // Starts a new life at the same address; kills the former one if it still runs.
  void Restart(NodeIndex node, std::unique_ptr<SimulatedNode> replacement);
  // Stops a node (as by SIGSTOP or a paused machine); its timers and messages wait.
  void Freeze(NodeIndex node);
  // Lets a frozen node go on: first what waited, in order.
  void Thaw(NodeIndex node);

  NodeState State(NodeIndex node) const;
  // Returns the node's present life; null when it is dead.
  SimulatedNode* Find(NodeIndex node);
  const NodePlacement& Placement(NodeIndex node) const;
  const NodeCounters& Counters(NodeIndex node) const;
  std::size_t NodeCount() const { return slots_.size(); }

  NetworkModel& Network() { return network_; }
  // Random numbers for the experiment itself (faults, workload).
  base::RandomSource& Random() { return random_; }

  // Runs `action` after `delay`.
  void Schedule(base::Duration delay, EventQueue::Action action);

  base::TimePoint Now() const { return queue_.Now(); }
  std::uint64_t ExecutedEvents() const { return queue_.executed(); }

  // Runs all that happens in the next `duration`.
  void RunFor(base::Duration duration);
  // Runs until `condition` holds, looking after each event; false when `limit` passed first.
  bool RunUntil(const std::function<bool()>& condition, base::Duration limit);

 private:
  class Slot;

  // Plans the deliveries of a message; called by the sender's context.
  void Transmit(const Slot& sender, const Message& message, int latency_factor);
  void Deliver(const Message& message);
  Slot& At(NodeIndex node);
  const Slot& At(NodeIndex node) const;

  base::RandomSource random_;
  NetworkModel network_;
  EventQueue queue_;
  std::vector<std::unique_ptr<Slot>> slots_;  // index = NodeIndex
  absl::flat_hash_map<base::SocketAddress, NodeIndex> by_address_;
};

}  // namespace gaugevalve::simulation
