// The control plane of one service in the emulator: the real planner, its take-overs, and the way
// of tables and reports.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "gaugevalve/control/control_message.h"
#include "gaugevalve/routing/service_planner.h"
#include "world.h"

namespace gaugevalve::lab {

// Runs the planner on a balancer. When that dies or freezes, the next running balancer takes over
// after the membership's lag, from the table that it has itself; a planner that wakes up after that
// still publishes once, under its old generation.
class PlannerHost {
 public:
  PlannerHost(World& world, std::size_t service);

  // Starts with the agents that are there, and gives everybody the first table at once.
  void Start();

  // Tells the planner, after the membership's lag, what has become of an agent.
  void NoteAgent(const AgentHost& agent);

  // Copies the table from a running balancer to a node that joined.
  void Welcome(BalancerHost& balancer);
  void Welcome(AgentHost& agent);

  void OnThaw(const BalancerHost& balancer);

 private:
  // A table's change on its way.
  struct Update {
    routing::TableDelta delta;
    routing::BucketTable whole;  // for who can't apply the delta
    std::size_t delta_bytes = 0;
    std::size_t whole_bytes = 0;
  };
  using SharedUpdate = std::shared_ptr<const Update>;

  struct FormerPlanner {
    std::size_t balancer;
    std::unique_ptr<routing::ServicePlanner> planner;
  };

  // A report on its way.
  struct SentReport {
    std::size_t agent = 0;
    control::NumberedReport numbered;
    std::size_t bytes = 0;
  };

  void TellPlanner(const AgentHost& agent);
  void NoteListed();
  void Tick();
  void Report(std::size_t agent);
  routing::AgentReport Measure(AgentHost& agent) const;
  void ArriveAtPlanner(const SentReport& sent);
  void ArriveAnswer(std::size_t agent, const control::ReportAnswer& answer);
  void FetchTable(std::size_t agent);
  void CheckPlanner();
  void TakeOver(BalancerHost& balancer);
  void Step(routing::ServicePlanner& planner);
  SharedUpdate MakeUpdate(const routing::TableDelta& delta,
                          const routing::BucketTable& whole) const;
  void Distribute(const SharedUpdate& update);
  void ArriveAtBalancer(std::size_t balancer, const SharedUpdate& update);
  void ArriveAtAgent(std::size_t agent, const SharedUpdate& update);
  static std::size_t ApplyUpdate(routing::BucketTable& table, const Update& update);
  void ShowTable(AgentHost& agent) const;
  void ShowTable(BalancerHost& balancer) const;
  BalancerHost* FirstRunning() const;
  std::vector<AgentHost*> Agents() const;

  World& world_;
  std::size_t service_;
  std::unique_ptr<routing::ServicePlanner> planner_;
  std::vector<FormerPlanner> former_;  // of frozen balancers
  std::size_t balancer_ = 0;           // where the planner is
  std::uint32_t generation_ = 0;
  std::optional<base::TimePoint> lost_since_;
  std::vector<routing::AgentStatus> known_;  // as membership knows them
};

}  // namespace gaugevalve::lab
