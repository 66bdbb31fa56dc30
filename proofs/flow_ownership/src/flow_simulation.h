// Simulates a service under an adversary: agents, balancers with old tables, a network that delays,
// duplicates and loses messages, and a planner that moves buckets all the time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/flow/bucket_ownership.h"
#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/wire/flow_key.h"
#include "gaugevalve/wire/forwarding_header.h"
#include "mutant.h"
#include "ownership_oracle.h"
#include "planner_model.h"
#include "simulated_agent.h"

namespace gaugevalve::proofs {

// Numbers of events in a run, to check that the property was actually exercised.
struct SimulationCounts {
  std::uint64_t opened = 0;
  std::uint64_t served = 0;
  std::uint64_t served_on_walk = 0;
  std::uint64_t passed_on = 0;
  std::uint64_t recovered = 0;  // flows served again after their agent was declared dead
  std::array<std::uint64_t, flow::kDropReasonCount> dropped{};

  void Add(const SimulationCounts& other);
};

// Drives the agents' flow cores. Each method is one step of the adversary. Numbers that are too
// large wrap around, so any sequence of steps is valid.
class FlowSimulation {
 public:
  static constexpr std::size_t kAgents = 4;
  static constexpr std::size_t kBalancers = 2;
  static constexpr std::size_t kBuckets = 2;
  static constexpr std::size_t kFlows = 4;

  explicit FlowSimulation(Mutant mutant);

  // Returns the bucket of a flow.
  static std::size_t BucketOf(std::size_t flow);

  // A client sends a datagram of the flow, which the network routes to this balancer.
  void Send(std::size_t flow, std::size_t balancer);

  // The network delivers its `number`-th message; if the receiver is frozen, the message stays.
  void Deliver(std::size_t number);
  void DeliverLatest();  // the most recently sent message
  void Duplicate(std::size_t number);
  void Lose(std::size_t number);

  // Steps of the planner.
  void Move(std::size_t bucket, std::size_t agent);
  void DeclareDead(std::size_t agent);  // only an agent that was silent or frozen for long enough
  void List(std::size_t agent);  // the agent's current incarnation, if it runs for the service

  // The `age`-th newest table is sent to an agent, or immediately becomes the table of a balancer.
  // The newest table comes from the planner and confirms that the agent counted as alive at this
  // time. An older table comes from a peer and confirms no more than the planner had confirmed for
  // it or an earlier table.
  void SendTable(std::size_t agent, std::size_t age);
  void SetBalancerTable(std::size_t balancer, std::size_t age);

  // Steps of an agent.
  void SendReport(std::size_t agent);
  void Drain(std::size_t agent);
  void Freeze(std::size_t agent);
  void Thaw(std::size_t agent) { agents_[agent].Thaw(); }
  void Crash(std::size_t agent);
  void Restart(std::size_t agent);

  // The agent's machine is assigned to another service, with the same address and node id.
  void ReassignToOtherService(std::size_t agent);

  void AdvanceTime(base::Duration step);

  // Stops the adversary: all agents thaw, and tables and reports are delivered. Then checks that
  // each flow is served, by the agent that holds it if there is one.
  void SettleAndCheck();

  // Returns the first violated rule.
  const std::optional<std::string>& Violation() const { return violation_; }

  const SimulationCounts& Counts() const { return counts_; }

 private:
  struct Datagram {
    std::size_t to = 0;  // the agent at the address
    std::size_t flow = 0;
    wire::ForwardingHeader header;
  };
  struct TableMessage {
    std::size_t to = 0;
    TablePointer table;
    base::TimePoint confirmed_at;
  };
  using Message = std::variant<Datagram, TableMessage, routing::AgentReport>;

  std::optional<Datagram> Route(std::size_t flow, std::size_t balancer) const;
  // Returns when the planner last confirmed this table or an older one to the agent.
  base::TimePoint LastConfirmation(std::size_t agent, std::size_t table) const;

  bool CanReceive(const Message& message) const;
  void Handle(Message message);
  std::optional<Datagram> Process(Datagram datagram);
  void NoteRelayed(const Datagram& datagram, bool is_new);
  void PropagateAll();
  void CheckFlowIsServed(std::size_t flow, std::size_t balancer);
  void RecordViolation(const std::string& rule);

  Mutant mutant_;
  base::TimePoint now_{};
  PlannerModel planner_;
  std::vector<SimulatedAgent> agents_;
  std::array<std::size_t, kBalancers> balancer_tables_{};
  // Time at which the planner last confirmed each table to the agent, by the table's index.
  std::array<std::map<std::size_t, base::TimePoint>, kAgents> confirmations_;
  std::vector<Message> network_;
  OwnershipOracle oracle_;
  std::optional<flow::FlowAction> last_action_;
  SimulationCounts counts_;
  std::optional<std::string> violation_;
};

}  // namespace gaugevalve::proofs
