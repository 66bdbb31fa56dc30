// A service in the hands of an adversary: agents, balancers with old tables, a network that delays,
// doubles and loses, and a planner that moves buckets all the time.
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

// What happened in a run, to see that the proof isn't of nothing.
struct SimulationCounts {
  std::uint64_t opened = 0;
  std::uint64_t served = 0;
  std::uint64_t served_on_walk = 0;
  std::uint64_t passed_on = 0;
  std::uint64_t recovered = 0;  // flows that came back after their agent was taken for dead
  std::array<std::uint64_t, flow::kDropReasonCount> dropped{};

  void Add(const SimulationCounts& other);
};

// Drives the agents' flow cores. Each method is one step of the adversary; numbers that are too
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

  // A client sends a datagram of the flow, which the fabric gives to this balancer.
  void Send(std::size_t flow, std::size_t balancer);

  // The network delivers one of its messages, the `number`-th; where its receiver is frozen it
  // stays.
  void Deliver(std::size_t number);
  void DeliverLatest();  // the message that was sent last
  void Duplicate(std::size_t number);
  void Lose(std::size_t number);

  // The planner's steps.
  void Move(std::size_t bucket, std::size_t agent);
  void DeclareDead(std::size_t agent);  // only one that was silent or frozen for long enough
  void List(std::size_t agent);         // the agent's present life, if it runs for the service

  // A table, the `age`-th newest, is sent to an agent; or is at once what a balancer has. The
  // newest is the planner's own word, by which the agent knows that it counted as alive at this
  // time; an older one comes from a peer and confirms nothing more than the planner had, of it or
  // its elders.
  void SendTable(std::size_t agent, std::size_t age);
  void SetBalancerTable(std::size_t balancer, std::size_t age);

  // An agent's steps.
  void SendReport(std::size_t agent);
  void Drain(std::size_t agent);
  void Freeze(std::size_t agent);
  void Thaw(std::size_t agent) { agents_[agent].Thaw(); }
  void Crash(std::size_t agent);
  void Restart(std::size_t agent);

  // The agent's machine goes to another service, under the same address and name.
  void ReassignToOtherService(std::size_t agent);

  void AdvanceTime(base::Duration step);

  // The adversary rests: everything thaws, tables and reports spread. Then each flow must be
  // served, and by the agent that holds it if there is one.
  void SettleAndCheck();

  // Returns the first rule that was broken.
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
  // When the planner last confirmed each table to the agent, by the table's number.
  std::array<std::map<std::size_t, base::TimePoint>, kAgents> confirmations_;
  std::vector<Message> network_;
  OwnershipOracle oracle_;
  std::optional<flow::FlowAction> last_action_;
  SimulationCounts counts_;
  std::optional<std::string> violation_;
};

}  // namespace gaugevalve::proofs
