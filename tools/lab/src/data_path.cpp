#include "data_path.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::lab {

DataPath::DataPath(World& world, PacketListener& listener) : world_(world), listener_(listener) {
  for (const std::unique_ptr<BalancerHost>& balancer : world.balancers) {
    fabric_.push_back(balancer->index);
  }
}

void DataPath::AddToFabric(std::size_t balancer) {
  RemoveFromFabric(balancer);
  fabric_.push_back(balancer);
}

void DataPath::RemoveFromFabric(std::size_t balancer) { std::erase(fabric_, balancer); }

void DataPath::Send(const Packet& packet) {
  if (fabric_.empty()) {
    listener_.OnLost(packet, "no_balancer");
    return;
  }
  const std::size_t balancer = fabric_[world_.network_random.NextBelow(fabric_.size())];
  world_.Schedule(world_.scenario.latency.callers,
                  [this, balancer, packet] { ArriveAtBalancer(balancer, packet); });
}

void DataPath::ArriveAtBalancer(std::size_t index, const Packet& packet) {
  BalancerHost& balancer = *world_.balancers[index];
  if (!balancer.alive) {
    listener_.OnLost(packet, "dead_balancer");
    return;
  }
  if (balancer.frozen) {
    held_.push_back({index, packet});
    held_.back().packet.is_late_copy = true;
    listener_.OnLost(packet, "frozen_balancer");
    return;
  }
  Forward(balancer, packet);
}

void DataPath::Thaw(BalancerHost& balancer) {
  const std::vector<Held> held = std::exchange(held_, {});
  for (const Held& entry : held) {
    if (entry.balancer == balancer.index) {
      Forward(balancer, entry.packet);
    } else {
      held_.push_back(entry);
    }
  }
}

void DataPath::Thaw(AgentHost& agent) {
  const std::vector<HeldAtAgent> held = std::exchange(held_at_agents_, {});
  for (const HeldAtAgent& entry : held) {
    if (entry.agent != agent.index) {
      held_at_agents_.push_back(entry);
    } else if (world_.policy == Policy::kGaugevalve) {
      DecideAtAgent(agent, entry.packet, entry.header);
    }
  }
}

void DataPath::Forward(BalancerHost& balancer, const Packet& packet) {
  switch (world_.policy) {
    case Policy::kGaugevalve:
      ForwardByTable(balancer, packet);
      return;
    case Policy::kOmniscient:
      ForwardToLeastLoaded(packet);
      return;
    default:
      ForwardByChooser(balancer, packet);
  }
}

void DataPath::ForwardByTable(BalancerHost& balancer, const Packet& packet) {
  const wire::ProxyDatagram datagram{packet.key.source, packet.key.destination, {}, {}};
  wire::ForwardingHeader header;
  const forwarding::Decision decision = balancer.core->Decide(datagram, world_.Now(), header);
  if (const auto* reason = std::get_if<forwarding::DropReason>(&decision)) {
    listener_.OnLost(packet, forwarding::ToString(*reason));
    return;
  }
  const base::SocketAddress address = std::get<forwarding::Forward>(decision).next_hop;
  const AgentHost* agent = world_.AgentAt(address);
  const std::string& agent_zone = agent != nullptr ? agent->zone : balancer.zone;
  world_.Schedule(world_.Latency(balancer.zone, agent_zone),
                  [this, address, packet, header] { ArriveAtAgent(address, packet, header); });
}

void DataPath::ForwardByChooser(BalancerHost& balancer, const Packet& packet) {
  const std::optional<base::NodeId> chosen =
      balancer.choosers[packet.service]->Choose(packet.key.Hash());
  if (!chosen) {
    listener_.OnLost(packet, "no_agent");
    return;
  }
  for (const std::unique_ptr<AgentHost>& agent : world_.agents) {
    if (agent->node == *chosen) {
      const base::SocketAddress address = agent->address;
      world_.Schedule(world_.Latency(balancer.zone, agent->zone), [this, address, packet] {
        ArriveAtAgent(address, packet, wire::ForwardingHeader{});
      });
      return;
    }
  }
}

AgentHost* DataPath::LeastLoaded(std::size_t service) {
  AgentHost* best = nullptr;
  double least = 0.0;
  for (const std::unique_ptr<AgentHost>& agent : world_.agents) {
    if (agent->service != service || !agent->IsServing()) {
      continue;
    }
    const double load = static_cast<double>(agent->open_flows) / world_.RampOf(*agent);
    if (best == nullptr || load < least) {
      best = agent.get();
      least = load;
    }
  }
  return best;
}

void DataPath::ForwardToLeastLoaded(const Packet& packet) {
  const std::optional<std::size_t> home = listener_.HomeOf(packet);
  AgentHost* agent = home ? world_.agents[*home].get() : LeastLoaded(packet.service);
  if (agent == nullptr || !agent->alive) {
    listener_.OnLost(packet, "no_agent");
    return;
  }
  listener_.OnServed(packet, *agent, !home);
}

void DataPath::ArriveAtAgent(const base::SocketAddress& address, const Packet& packet,
                             const wire::ForwardingHeader& header) {
  AgentHost* agent = world_.AgentAt(address);
  if (agent == nullptr) {
    listener_.OnLost(packet, "dead_agent");
    return;
  }
  if (agent->frozen) {
    held_at_agents_.push_back({agent->index, packet, header});
    held_at_agents_.back().packet.is_late_copy = true;
    listener_.OnLost(packet, "frozen_agent");
    return;
  }
  if (world_.policy == Policy::kGaugevalve) {
    DecideAtAgent(*agent, packet, header);
  } else {
    listener_.OnServed(packet, *agent, false);
  }
}

void DataPath::DecideAtAgent(AgentHost& agent, const Packet& packet,
                             wire::ForwardingHeader header) {
  const flow::FlowAction action = agent.core->Decide(packet.key, header, world_.Now());
  if (const auto* reason = std::get_if<flow::DropReason>(&action)) {
    listener_.OnLost(packet, flow::ToString(*reason));
    return;
  }
  if (const auto* relay = std::get_if<flow::Relay>(&action)) {
    listener_.OnServed(packet, agent, relay->is_new);
    return;
  }
  const base::SocketAddress next = std::get<flow::PassOn>(action).next_hop;
  const AgentHost* next_agent = world_.AgentAt(next);
  const std::string& next_zone = next_agent != nullptr ? next_agent->zone : agent.zone;
  world_.Schedule(world_.Latency(agent.zone, next_zone),
                  [this, next, packet, header] { ArriveAtAgent(next, packet, header); });
}

}  // namespace gaugevalve::lab
