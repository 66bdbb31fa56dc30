// A node of the simulation that runs the real control core, with no data path.
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

// One life of a hollow node.
struct HollowNodeSettings {
  control::ControlNodeOptions options;
  // Members known from the start; may be null. Shared, as thousands of nodes start with the same.
  std::shared_ptr<const std::vector<membership::Member>> preload;
  SimulatedStore* store = nullptr;  // must outlive the node
  // Count the processor time of the node's own work; for benchmarks only, as two runs then differ.
  bool measures_processor_time = false;
};

// Real cores and encoding, simulated clock, network and store. An agent reports no flows.
class HollowNode final : public simulation::SimulatedNode {
 public:
  explicit HollowNode(HollowNodeSettings settings);

  void OnStart(simulation::NodeContext& context) override;
  void OnMessage(const simulation::Message& message) override;
  void OnTimer(simulation::TimerToken token) override;

  const control::ControlNode& Core() const { return *core_; }
  const transport::TransportCounters& Counters() const { return transport_->Counters(); }

  // Returns the processor time of this life, encoding included; zero unless it is measured.
  std::chrono::nanoseconds ProcessorTime() const { return processor_time_; }

  // Every revision this life put in force, in order.
  const std::vector<base::Revision>& Activations() const { return activations_; }

 private:
  // How often the shell looks after the store and the agent's report.
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
  base::Revision store_revision_;  // read so far
  bool holds_lease_ = false;
  base::TimePoint lease_valid_until_{};
  base::TimePoint next_periodic_work_{};
  simulation::TimerToken armed_token_ = 0;
  base::TimePoint armed_at_ = base::TimePoint::max();
  std::vector<base::Revision> activations_;
};

}  // namespace gaugevalve::control_simulation
