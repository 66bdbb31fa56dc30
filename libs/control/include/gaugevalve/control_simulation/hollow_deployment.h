// Simulated deployment of hollow balancers and agents.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "gaugevalve/control_simulation/hollow_node.h"
#include "gaugevalve/control_simulation/simulated_store.h"
#include "gaugevalve/settings/settings_tree.h"
#include "gaugevalve/simulation/simulator.h"

namespace gaugevalve::control_simulation {

struct HollowDeploymentSettings {
  std::size_t balancers = 0;
  std::size_t services = 0;
  std::size_t agents_per_service = 0;
  std::size_t buckets_per_service = 64;
  bool is_preloaded = true;  // members know each other from the start
  bool measures_processor_time = false;
  // Options of every node; name, metadata and seeds are set by the deployment.
  control::ControlNodeOptions options;
};

// Adds the nodes to the zones in turn, balancers first, and owns the store.
class HollowDeployment {
 public:
  // `simulator` must outlive the deployment. Commits an initial settings tree.
  HollowDeployment(simulation::Simulator& simulator, HollowDeploymentSettings settings);

  SimulatedStore& Store() { return store_; }
  std::size_t Size() const { return entries_.size(); }
  std::size_t BalancerCount() const { return settings_.balancers; }
  simulation::NodeIndex Index(std::size_t node) const { return entries_[node].index; }
  simulation::Simulator& Simulation() { return simulator_; }

  bool IsRunning(std::size_t node) const;
  // Returns the running incarnation of a node, which must not be dead.
  const HollowNode& Process(std::size_t node) const;

  void Kill(std::size_t node);
  // Starts a new incarnation that knows only the seeds.
  void Restart(std::size_t node);

  // Sets the settings schema that the node understands from its next incarnation on.
  void SetSettingsSchema(std::size_t node, std::uint32_t schema) {
    entries_[node].options.metadata.settings_schema = schema;
  }

  // Commits an edit of one service that sets the weight of its endpoints.
  base::Revision Edit(std::size_t service, std::uint32_t weight);

  // Tells whether this revision is active on every running balancer.
  bool IsInForceEverywhere(base::Revision revision) const;

  // Tells whether all running nodes that hold a table of the service hold the same one, and every
  // running balancer holds one.
  bool HasOneTable(std::size_t service) const;

  static std::string ServiceName(std::size_t service);

 private:
  struct Entry {
    simulation::NodeIndex index;
    control::ControlNodeOptions options;
  };

  control::ControlNodeOptions MakeOptions(std::size_t node) const;
  settings::SettingsTree MakeTree() const;
  std::unique_ptr<HollowNode> MakeProcess(std::size_t node, bool is_preloaded);
  void Preload();

  simulation::Simulator& simulator_;
  HollowDeploymentSettings settings_;
  SimulatedStore store_;
  std::vector<Entry> entries_;
  std::vector<std::uint32_t> weights_;  // by service
  std::shared_ptr<const std::vector<membership::Member>> preload_;
};

}  // namespace gaugevalve::control_simulation
