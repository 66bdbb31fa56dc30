// A small deployment in simulated time: clients, balancers, agents, endpoints, and an adversary.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/placement/agent_core.h"
#include "gaugevalve/placement/balancer_core.h"

namespace gaugevalve::proofs {

// The protections of the cores, each of which a mutant takes away.
struct PlacementWorldSettings {
  base::Duration learning_time = std::chrono::milliseconds(700);
  base::Duration memory_limit = std::chrono::seconds(3);  // of a left endpoint, at its agent
  bool checks_service = true;
  bool returns_bounced = true;
  bool notices_pauses = true;  // of a balancer
};

// Steps run whole; datagrams wait in a network that the adversary empties in any order.
class PlacementWorld {
 public:
  static constexpr std::size_t kBalancers = 2;
  static constexpr std::size_t kAgents = 6;

  explicit PlacementWorld(const PlacementWorldSettings& settings);

  void OpenFlow(std::uint32_t choice);
  void CopyOpening(std::uint32_t choice);
  void SendData(std::uint32_t choice);
  void Deliver(std::uint32_t choice);
  void Lose(std::uint32_t choice);
  void Advance();
  void Rest();  // a second
  void RestartBalancer(std::uint32_t choice);
  void RestartAgent(std::uint32_t choice);
  void RestartAll();
  void PauseBalancer(std::uint32_t choice);  // for longer than agents may be silent
  void Leave(std::uint32_t choice);
  void Replace(std::uint32_t choice);
  void AnnounceLate(std::uint32_t choice);

  // Ends the faults and lets everybody learn; then each open flow's data must arrive.
  void Heal();

  const std::optional<std::string>& Violation() const { return violation_; }
  std::size_t FlowsOpened() const { return flows_opened_; }
  std::size_t SearchesEnded() const { return searches_ended_; }
  std::size_t Resets() const { return resets_; }
  std::size_t Passes() const { return passes_; }

 private:
  struct Flow {
    placement::FlowKey key;
    std::uint32_t endpoint_sequence = 0;  // of the opening answer that the client took; 0: none
    std::uint32_t next_byte = 101;
    bool is_reset = false;
  };

  struct Endpoint {
    std::uint32_t incarnation = 0;
    base::ServiceId service;
    std::map<std::uint16_t, std::uint32_t> half_open;  // client's port -> own sequence
    std::set<std::uint16_t> open;
    std::optional<base::TimePoint> left_at;  // acknowledged
    bool is_deregistered = false;  // it left without draining, and announces nothing any more
    std::uint64_t announcement = 0;
    std::uint64_t arrived = 0;
  };

  struct Agent {
    std::unique_ptr<placement::AgentCore> core;
    Endpoint endpoint;
    std::uint64_t life = 0;
  };

  enum class Hop : std::uint8_t { kToAgent, kToBalancer, kToEndpoint, kHolderNotice };

  struct Datagram {
    Hop hop = Hop::kToAgent;
    std::size_t node = 0;
    std::size_t sender = 0;
    placement::FlowPacket packet;
    placement::ForwardHeader header;
    placement::SearchRoute route;  // for kToAgent
    std::uint32_t mark = 0;
    std::uint32_t incarnation = 0;  // of the endpoint, for kToEndpoint
  };

  std::optional<std::size_t> PickFlow(std::uint32_t choice, bool must_be_open) const;
  placement::FlowPacket MakePacket(const Flow& flow, bool is_opening) const;
  void SendThrough(std::size_t balancer, const placement::FlowPacket& packet);
  void Act(std::size_t balancer, const placement::FlowPacket& packet,
           const placement::BalancerDecision& decision);
  void Handle(const Datagram& datagram);
  void AtAgent(const Datagram& datagram);
  void PassOn(const placement::FlowPacket& packet, const placement::AgentDecision& decision);
  void AtEndpoint(const Datagram& datagram);
  void FromEndpoint(std::size_t agent, const placement::FlowPacket& packet, std::uint32_t mark);
  void Bounce(std::size_t agent, placement::FlowPacket packet, std::uint32_t mark);
  void MakeBalancer(std::size_t index);
  void MakeAgent(std::size_t index);
  static placement::EndpointIncarnation IncarnationOf(const Endpoint& endpoint);
  void Announce(Agent& agent);
  void Report();
  void TakeReset(const placement::FlowPacket& packet, std::uint32_t sequence);
  void CheckOpening(const Agent& agent, const placement::FlowPacket& packet);
  Agent* OwnerOf(const Flow& flow);
  Flow& FlowOf(const placement::FlowPacket& packet);
  void Break(const std::string& text);

  PlacementWorldSettings settings_;
  base::RandomSource random_{1};
  base::TimePoint now_{};
  std::vector<std::unique_ptr<placement::BalancerCore>> balancers_;
  std::vector<Agent> agents_;
  std::vector<Flow> flows_;
  std::vector<Datagram> network_;
  std::optional<std::size_t> paused_;  // a balancer that hears nothing
  std::uint32_t next_sequence_ = 1'000'000;
  std::uint64_t next_life_ = 1;
  std::optional<std::string> violation_;
  std::size_t flows_opened_ = 0;
  std::size_t searches_ended_ = 0;
  std::size_t resets_ = 0;
  std::size_t passes_ = 0;  // of searches, from agent to agent
};

}  // namespace gaugevalve::proofs
