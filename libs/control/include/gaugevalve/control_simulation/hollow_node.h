// Simulated node that runs the real control core without a data path.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "gaugevalve/control/control_node.h"
#include "gaugevalve/control_simulation/simulated_store.h"
#include "gaugevalve/simulation/simulated_node.h"
#include "gaugevalve/simulation/simulated_transport.h"

namespace gaugevalve::control_simulation {

// Settings of one incarnation of a hollow node.
struct HollowNodeSettings {
  control::ControlNodeOptions options;
  // Members that are known from the start; may be null. Shared, because thousands of nodes start
  // with the same list.
  std::shared_ptr<const std::vector<membership::Member>> preload;
  SimulatedStore* store = nullptr;  // must outlive the node
  // Measure the processor time of the node's own work. For benchmarks only, because the figures
  // differ from run to run.
  bool measures_processor_time = false;
};

// Runs the real cores and encoding with simulated clock, network and store. An agent reports no
// flows.
class HollowNode final : public simulation::SimulatedNode {
 public:
  explicit HollowNode(HollowNodeSettings settings);

  void OnStart(simulation::NodeContext& context) override;
  void OnMessage(const simulation::Message& message) override;
  void OnTimer(simulation::TimerToken token) override;

  const control::ControlNode& Core() const { return *core_; }
  const transport::TransportCounters& Counters() const { return transport_->Counters(); }

  // Returns the processor time of this incarnation, encoding included; zero unless it is measured.
  std::chrono::nanoseconds ProcessorTime() const { return processor_time_; }

  // Returns every revision that this incarnation activated, in order.
  const std::vector<base::Revision>& Activations() const { return activations_; }

 private:
  // Interval at which the node reads the store, renews the lease and updates the agent's report.
  static constexpr base::Duration kPeriodicWorkInterval = std::chrono::milliseconds(200);
  static constexpr base::Duration kLeaseTtl = std::chrono::seconds(5);

  void Measure(const std::function<void()>& work);
  void HandleTimer(simulation::TimerToken token);
  void Perform(control::ControlActions& actions);
  void RunTransaction(const settings::StoreTransaction& transaction);
  void RunPeriodicWork();
  void UseStore(control::ControlActions& actions);
  void UpdateReport(control::ControlActions& actions);
  void ArmTimer();

  HollowNodeSettings settings_;
  simulation::NodeContext* context_ = nullptr;
  std::unique_ptr<simulation::SimulatedTransport> transport_;
  std::unique_ptr<control::ControlNode> core_;
  std::chrono::nanoseconds processor_time_{0};
  base::Revision store_revision_;  // newest store revision read
  bool holds_lease_ = false;
  base::TimePoint lease_valid_until_{};
  base::TimePoint next_periodic_work_{};
  simulation::TimerToken armed_token_ = 0;
  base::TimePoint armed_at_ = base::TimePoint::max();
  std::vector<base::Revision> activations_;
};

}  // namespace gaugevalve::control_simulation
