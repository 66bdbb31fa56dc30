// A whole deployment of hollow balancers and agents on the simulator.
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
  control::ControlNodeOptions options;  // of every node; name, metadata and seeds are filled in
};

// Adds the nodes zone by zone in turn, keeps the store, and knows the truth. Balancers come first.
class HollowDeployment {
 public:
  // `simulator` must outlive the deployment. Commits a first tree.
  HollowDeployment(simulation::Simulator& simulator, HollowDeploymentSettings settings);

  SimulatedStore& Store() { return store_; }
  std::size_t Size() const { return entries_.size(); }
  std::size_t BalancerCount() const { return settings_.balancers; }
  simulation::NodeIndex Index(std::size_t node) const { return entries_[node].index; }
  simulation::Simulator& Simulation() { return simulator_; }

  bool IsRunning(std::size_t node) const;
  // Returns the present life; the node must not be dead.
  const HollowNode& Life(std::size_t node) const;

  void Kill(std::size_t node);
  // Starts a new life that knows only the seeds.
  void Restart(std::size_t node);

  // From its next life on the node runs a release that understands this settings schema.
  void SetSettingsSchema(std::size_t node, std::uint32_t schema) {
    entries_[node].options.metadata.settings_schema = schema;
  }

  // Commits an edit of one service: its endpoints get this weight.
  base::Revision Edit(std::size_t service, std::uint32_t weight);

  // Returns whether every running balancer has this revision in force.
  bool IsInForceEverywhere(base::Revision revision) const;

  // Returns whether all running nodes that hold a table of the service hold the same one, and every
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
  std::unique_ptr<HollowNode> MakeLife(std::size_t node, bool is_preloaded);
  void Preload();

  simulation::Simulator& simulator_;
  HollowDeploymentSettings settings_;
  SimulatedStore store_;
  std::vector<Entry> entries_;
  std::vector<std::uint32_t> weights_;  // by service
  std::shared_ptr<const std::vector<membership::Member>> preload_;
};

}  // namespace gaugevalve::control_simulation
