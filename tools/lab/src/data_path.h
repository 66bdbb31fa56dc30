// The way of a datagram: fabric, balancer, agent, and from agent to agent.
#pragma once

#include <cstddef>
#include <vector>

#include "gaugevalve/wire/forwarding_header.h"
#include "packet.h"
#include "world.h"

namespace gaugevalve::lab {

// Drives the product's forwarding and flow cores, or a baseline's chooser and plain back ends. The
// fabric sprays every datagram on any balancer that it believes to be alive.
class DataPath {
 public:
  DataPath(World& world, PacketListener& listener);

  void Send(const Packet& packet);

  // What the fabric believes; the caller adds the fabric's lag.
  void AddToFabric(std::size_t balancer);
  void RemoveFromFabric(std::size_t balancer);

  // Sends out what a balancer held while it was frozen.
  void Thaw(BalancerHost& balancer);

  // Hands an agent what came while it was frozen.
  void Thaw(AgentHost& agent);

 private:
  struct HeldAtAgent {
    std::size_t agent;
    Packet packet;
    wire::ForwardingHeader header;
  };

  struct Held {
    std::size_t balancer;
    Packet packet;
  };

  void ArriveAtBalancer(std::size_t balancer, const Packet& packet);
  void Forward(BalancerHost& balancer, const Packet& packet);
  void ForwardByTable(BalancerHost& balancer, const Packet& packet);
  void ForwardByChooser(BalancerHost& balancer, const Packet& packet);
  void ForwardToLeastLoaded(const Packet& packet);
  void ArriveAtAgent(const base::SocketAddress& address, const Packet& packet,
                     const wire::ForwardingHeader& header);
  void DecideAtAgent(AgentHost& agent, const Packet& packet, wire::ForwardingHeader header);
  AgentHost* LeastLoaded(std::size_t service);

  World& world_;
  PacketListener& listener_;
  std::vector<std::size_t> fabric_;  // balancers it sprays on
  std::vector<Held> held_;
  std::vector<HeldAtAgent> held_at_agents_;
};

}  // namespace gaugevalve::lab
