#include "control_simulation.h"

#include <algorithm>
#include <sstream>

namespace gaugevalve::proofs {
namespace {

using control_simulation::HollowDeployment;
using control_simulation::HollowDeploymentSettings;

// The interval at which the oracle checks all nodes.
constexpr base::Duration kCheckInterval = std::chrono::milliseconds(100);
constexpr base::Duration kTimeToSettle = std::chrono::minutes(2);

simulation::NetworkModel MakeNetwork() {
  return {{{"north", "n1"}, {"north", "n2"}, {"south", "s1"}}, {}};
}

HollowDeploymentSettings MakeDeployment(const ControlSimulationSettings& settings) {
  HollowDeploymentSettings deployment;
  deployment.balancers = ControlSimulation::kBalancers;
  deployment.services = ControlSimulation::kServices;
  deployment.agents_per_service = ControlSimulation::kAgentsPerService;
  deployment.is_preloaded = false;
  deployment.options.dissemination.faults.accept_older_records = settings.accept_older_records;
  deployment.options.faults.activate_partially = settings.activate_partially;
  return deployment;
}

base::ServiceId ServiceAt(std::size_t service) {
  return base::MakeServiceId(HollowDeployment::ServiceName(service));
}

}  // namespace

ControlSimulation::ControlSimulation(const ControlSimulationSettings& settings)
    : simulator_(settings.seed, MakeNetwork()), nodes_(simulator_, MakeDeployment(settings)) {
  Run(std::chrono::seconds(10));
}

bool ControlSimulation::IsLive(std::size_t node) const { return nodes_.IsRunning(node); }

std::size_t ControlSimulation::RunningBalancers() const {
  std::size_t running = 0;
  for (std::size_t node = 0; node < kBalancers; ++node) {
    running += IsLive(node) ? 1 : 0;
  }
  return running;
}

void ControlSimulation::Edit(std::size_t service, std::uint32_t weight) {
  if (nodes_.Store().IsAvailable()) {
    newest_ = nodes_.Edit(service % kServices, weight);
    ++commits_;
  }
}

void ControlSimulation::Kill(std::size_t node) {
  const bool is_last = node < kBalancers && RunningBalancers() == 1;
  if (IsLive(node) && !is_last) {
    nodes_.Kill(node);
  }
}

void ControlSimulation::Restart(std::size_t node) {
  const bool is_last = node < kBalancers && RunningBalancers() == 1 && IsLive(node);
  if (!is_last) {
    nodes_.Restart(node);
  }
}

void ControlSimulation::Freeze(std::size_t node) {
  if (IsLive(node)) {
    simulator_.Freeze(nodes_.Index(node));
  }
}

void ControlSimulation::Thaw(std::size_t node) {
  if (simulator_.State(nodes_.Index(node)) == simulation::NodeState::kFrozen) {
    simulator_.Thaw(nodes_.Index(node));
  }
}

void ControlSimulation::SetStoreAvailable(bool available) {
  nodes_.Store().SetAvailable(available);
}

void ControlSimulation::SplitRegions() { simulator_.Network().BlockRegions("north", "south"); }

void ControlSimulation::IsolateNode(std::size_t node) {
  simulator_.Network().IsolateNode(nodes_.Index(node));
}

void ControlSimulation::HealNetwork() { simulator_.Network().HealPartitions(); }

void ControlSimulation::SetMessageFaults(double probability) {
  simulation::NetworkFaults faults;
  faults.loss = probability;
  faults.duplication = probability;
  faults.reordering = probability;
  simulator_.Network().SetFaults(faults);
}

void ControlSimulation::Run(base::Duration duration) {
  for (base::Duration done{0}; done < duration; done += kCheckInterval) {
    simulator_.RunFor(kCheckInterval);
    Check();
  }
}

void ControlSimulation::HealAndSettle() {
  SetStoreAvailable(true);
  HealNetwork();
  SetMessageFaults(0);
  for (std::size_t node = 0; node < kNodes; ++node) {
    Thaw(node);
    if (!IsLive(node)) {
      nodes_.Restart(node);
    }
  }
  for (base::Duration done{0}; done < kTimeToSettle && !HasSettled(); done += kCheckInterval) {
    Run(kCheckInterval);
  }
  if (!violation_ && !HasSettled()) {
    std::ostringstream text;
    text << "not settled after the faults: newest is " << newest_ << ", active revisions";
    for (std::size_t node = 0; node < kBalancers; ++node) {
      text << ' ' << nodes_.Process(node).Core().Settings().Active().revision;
    }
    for (std::size_t service = 0; service < kServices; ++service) {
      text << ", tables of " << HollowDeployment::ServiceName(service);
      for (std::size_t node = 0; node < kNodes; ++node) {
        const auto table = nodes_.Process(node).Core().TableOf(ServiceAt(service));
        text << ' ' << (table == nullptr ? routing::TableVersion() : table->version);
      }
    }
    violation_ = text.str();
  }
}

bool ControlSimulation::HasSettled() {
  bool settled = nodes_.IsInForceEverywhere(newest_);
  for (std::size_t service = 0; service < kServices; ++service) {
    settled = settled && nodes_.HasOneTable(service);
  }
  return settled;
}

void ControlSimulation::Check() {
  for (std::size_t node = 0; node < kNodes && !violation_; ++node) {
    if (IsLive(node)) {
      CheckNode(node);
    }
  }
}

void ControlSimulation::CheckNode(std::size_t node) {
  const control::ControlNode& core = nodes_.Process(node).Core();
  ObservedState& seen = seen_[node];
  if (seen.process_incarnation != core.Options().metadata.process_incarnation) {
    seen = {core.Options().metadata.process_incarnation, {}, {}};
  }
  CheckTables(node, seen);
  if (node < kBalancers) {
    CheckSettings(node, core.Settings().Active(), seen);
  }
}

void ControlSimulation::CheckSettings(std::size_t node, const control::ActiveSettings& active,
                                      ObservedState& seen) {
  if (active.revision < seen.revision) {
    RecordViolation(node, "the active revision went back");
  }
  activations_ += active.revision > seen.revision ? 1 : 0;
  seen.revision = active.revision;
  if (active.settings == nullptr) {
    return;
  }
  const auto committed = nodes_.Store().Committed().find(active.revision);
  if (committed == nodes_.Store().Committed().end()) {
    RecordViolation(node, "the active revision was never committed");
  } else if (committed->second != *active.settings) {
    RecordViolation(node, "the active settings are a mix of revisions");
  }
}

void ControlSimulation::CheckTables(std::size_t node, ObservedState& seen) {
  for (std::size_t service = 0; service < kServices; ++service) {
    const base::ServiceId id = ServiceAt(service);
    const auto table = nodes_.Process(node).Core().TableOf(id);
    if (table == nullptr) {
      continue;
    }
    if (table->version < seen.tables[id]) {
      RecordViolation(node, "the version of a table went back");
    }
    seen.tables[id] = table->version;
  }
}

void ControlSimulation::RecordViolation(std::size_t node, const std::string& rule) {
  if (!violation_) {
    violation_ = "node " + std::to_string(node) + ": " + rule;
  }
}

}  // namespace gaugevalve::proofs
