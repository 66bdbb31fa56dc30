// Measures the whole control side of a deployment on the simulator: real cores and encoding of
// every node, simulated network, clock and store. Prints, by role, what a node sends, its processor
// time and its memory, and how long edits take until they are in force on every balancer.
#include <malloc.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "gaugevalve/control_simulation/hollow_deployment.h"
#include "gaugevalve/simulation/simulator.h"
#include "gaugevalve/transport/peer_transport.h"

ABSL_FLAG(std::uint32_t, balancers, 100, "balancers");
ABSL_FLAG(std::uint32_t, services, 100, "services");
ABSL_FLAG(std::uint32_t, agents_per_service, 3, "agents of each service");
ABSL_FLAG(std::uint32_t, buckets, 64, "buckets of each service's table");
ABSL_FLAG(double, settle_seconds, 30, "simulated seconds before the measurement");
ABSL_FLAG(double, seconds, 30, "measured time, simulated seconds");
ABSL_FLAG(std::uint32_t, edits, 4, "edits in this time, evenly spread");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the run");

namespace gaugevalve::control_simulation {
namespace {

enum class NodeRole : std::uint8_t { kCoordinator, kPlanner, kBalancer, kAgent };

constexpr std::array<const char*, 4> kRoleNames{"coordinator", "planner", "balancer", "agent"};

std::vector<simulation::ZoneDescription> Zones() {
  return {{"north", "n1"}, {"north", "n2"}, {"north", "n3"}, {"north", "n4"},
          {"south", "s1"}, {"south", "s2"}, {"south", "s3"}};
}

base::Duration Seconds(double seconds) {
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
}

// What a node had used at one time.
struct Usage {
  std::uint64_t bytes = 0;
  std::uint64_t network_bytes = 0;  // with estimated headers and acknowledgements
  std::chrono::nanoseconds processor_time{0};
};

// Heap in use by the process.
std::uint64_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

class Benchmark {
 public:
  Benchmark()
      : simulator_(absl::GetFlag(FLAGS_seed), simulation::NetworkModel(Zones(), {})),
        nodes_(simulator_, MakeSettings()) {}

  void Run() {
    simulator_.RunFor(Seconds(absl::GetFlag(FLAGS_settle_seconds)));
    const std::vector<Usage> before = AllUsage();
    const std::uint32_t edits = absl::GetFlag(FLAGS_edits);
    const double pause = absl::GetFlag(FLAGS_seconds) / (edits + 1);
    const base::TimePoint end = simulator_.Now() + Seconds(absl::GetFlag(FLAGS_seconds));
    for (std::uint32_t edit = 0; edit < edits; ++edit) {
      simulator_.RunFor(Seconds(pause));
      MeasureEdit(edit);
    }
    simulator_.RunFor(end - simulator_.Now());
    Report(before, AllUsage());
  }

 private:
  static HollowDeploymentSettings MakeSettings() {
    HollowDeploymentSettings settings;
    settings.balancers = absl::GetFlag(FLAGS_balancers);
    settings.services = absl::GetFlag(FLAGS_services);
    settings.agents_per_service = absl::GetFlag(FLAGS_agents_per_service);
    settings.buckets_per_service = absl::GetFlag(FLAGS_buckets);
    settings.measures_processor_time = true;
    return settings;
  }

  // The time starts at the commit, so it includes the readers' turn to look at the store.
  void MeasureEdit(std::uint32_t edit) {
    const base::TimePoint started = simulator_.Now();
    const base::Revision revision = nodes_.Edit(edit % absl::GetFlag(FLAGS_services), edit + 1);
    const bool done = simulator_.RunUntil([&] { return nodes_.IsInForceEverywhere(revision); },
                                          std::chrono::seconds(30));
    const std::chrono::duration<double> delay = simulator_.Now() - started;
    std::cout << "edit " << edit + 1 << (done ? ": in force everywhere after " : ": not after ")
              << delay.count() << " s\n";
  }

  std::vector<Usage> AllUsage() const {
    std::vector<Usage> usages;
    for (std::size_t node = 0; node < nodes_.Size(); ++node) {
      Usage usage;
      usage.processor_time = nodes_.Life(node).ProcessorTime();
      for (const transport::KindCounters& kind : nodes_.Life(node).Counters().by_kind) {
        usage.bytes += kind.sent_bytes;
        usage.network_bytes +=
            transport::EstimatedNetworkBytes(kind.sent_messages, kind.sent_bytes);
      }
      usages.push_back(usage);
    }
    return usages;
  }

  NodeRole RoleOf(std::size_t node) const {
    const control::ControlNode& core = nodes_.Life(node).Core();
    if (!core.IsBalancer()) {
      return NodeRole::kAgent;
    }
    if (core.CoordinatorState().HoldsLease()) {
      return NodeRole::kCoordinator;
    }
    return core.Planners().HostedCount() > 0 ? NodeRole::kPlanner : NodeRole::kBalancer;
  }

  void Report(const std::vector<Usage>& before, const std::vector<Usage>& after) {
    std::array<std::vector<std::size_t>, kRoleNames.size()> by_role;
    for (std::size_t node = 0; node < nodes_.Size(); ++node) {
      by_role.at(static_cast<std::size_t>(RoleOf(node))).push_back(node);
    }
    std::cout << "nodes " << nodes_.Size() << ", services " << absl::GetFlag(FLAGS_services)
              << ", seed " << absl::GetFlag(FLAGS_seed) << ", heap in all "
              << HeapBytes() / 1'000'000 << " MB\n"
              << "| role | nodes | sent B/s mean | most | with headers mean | most | CPU us/s mean "
                 "| most | heap MB a node |\n|---|---|---|---|---|---|---|---|---|\n";
    for (std::size_t role = 0; role < by_role.size(); ++role) {
      ReportRole(kRoleNames.at(role), by_role.at(role), before, after);
    }
  }

  void ReportRole(const char* name, const std::vector<std::size_t>& nodes,
                  const std::vector<Usage>& before, const std::vector<Usage>& after) {
    const double seconds = absl::GetFlag(FLAGS_seconds);
    std::array<double, 3> sums{};
    std::array<double, 3> most{};
    for (const std::size_t node : nodes) {
      const std::chrono::duration<double, std::micro> work =
          after[node].processor_time - before[node].processor_time;
      const std::array<double, 3> rates{
          static_cast<double>(after[node].bytes - before[node].bytes) / seconds,
          static_cast<double>(after[node].network_bytes - before[node].network_bytes) / seconds,
          work.count() / seconds};
      for (std::size_t index = 0; index < rates.size(); ++index) {
        sums.at(index) += rates.at(index);
        most.at(index) = std::max(most.at(index), rates.at(index));
      }
    }
    const auto count = static_cast<double>(std::max<std::size_t>(nodes.size(), 1));
    std::cout << std::fixed << std::setprecision(0) << "| " << name << " | " << nodes.size();
    for (std::size_t index = 0; index < sums.size(); ++index) {
      std::cout << " | " << sums.at(index) / count << " | " << most.at(index);
    }
    std::cout << " | " << std::setprecision(2) << HeapOf(nodes) / count / 1e6 << " |\n";
  }

  // Ends these nodes and returns what that frees.
  double HeapOf(const std::vector<std::size_t>& nodes) {
    const std::uint64_t before = HeapBytes();
    for (const std::size_t node : nodes) {
      nodes_.Kill(node);
    }
    return static_cast<double>(before) - static_cast<double>(HeapBytes());
  }

  simulation::Simulator simulator_;
  HollowDeployment nodes_;
};

}  // namespace
}  // namespace gaugevalve::control_simulation

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Measures the control side of a simulated deployment.");
  absl::ParseCommandLine(argc, argv);
  gaugevalve::control_simulation::Benchmark().Run();
  return 0;
}
