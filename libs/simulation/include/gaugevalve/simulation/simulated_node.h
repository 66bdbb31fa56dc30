// What a node of the simulation is, and what it can do.
#pragma once

#include <cstdint>
#include <string>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/simulation/network_model.h"

namespace gaugevalve::simulation {

// Tells a node's timers apart; the node chooses the values.
using TimerToken = std::uint64_t;

// Tells kinds of traffic apart, for the counters and the receiver; users choose the values.
using Channel = std::uint8_t;
inline constexpr std::size_t kChannels = 4;

// A message on its way.
struct Message {
  NodeIndex source;
  base::SocketAddress source_address;
  base::SocketAddress destination;
  Channel channel = 0;
  std::string bytes;
};

// What a node may do, bound to one life of it. Made by the simulator; valid until the node's life
// ends (kill, restart).
class NodeContext : public base::Clock {
 public:
  virtual NodeIndex Index() const = 0;
  virtual const base::SocketAddress& Address() const = 0;
  virtual ZoneIndex Zone() const = 0;

  // The node's own random numbers: what one node draws doesn't change another's.
  virtual base::RandomSource& Random() = 0;

  // Sends to whoever has `destination` when the message arrives. The network's latency applies
  // `latency_factor` times over: above 1 for a connection that must be set up first.
  virtual void Send(const base::SocketAddress& destination, Channel channel, std::string bytes,
                    int latency_factor = 1) = 0;

  // Calls OnTimer(token) after `delay`. Timers can't be taken back: nodes ignore stale ones.
  virtual void SetTimer(base::Duration delay, TimerToken token) = 0;
};

// One life of a node. The simulator owns it and destroys it when the node is killed or restarted.
class SimulatedNode {
 public:
  virtual ~SimulatedNode() = default;

  // Called once, before any other callback. `context` may be kept as long as the node lives.
  virtual void OnStart(NodeContext& context) = 0;
  virtual void OnMessage(const Message& message) = 0;
  virtual void OnTimer(TimerToken token) = 0;
};

}  // namespace gaugevalve::simulation
