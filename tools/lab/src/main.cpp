// gaugevalve-lab: runs scenarios in simulated time with the product's own decision cores.
//
//   run SCENARIO      one run of the product
//   compare SCENARIO  the product, the baselines and the bound, on the same arrivals
//   ablate SCENARIO   the product, with each mechanism switched off in turn
//   movement          how much a change of the agents moves, by policy
//   capacity          what one planner costs, by the size of its service
//   discovery         how fast balancers that were all lost find the agents again, by size
//
// Tables go to the standard output; files to --output. Progress and processor time go to the
// standard error, so that a seed gives the same output and files byte for byte; but for
// `discovery`, whose cores go through hash tables: its figures differ by a few parts in a hundred.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "discovery_experiment.h"
#include "experiment.h"
#include "gaugevalve/routing/movement.h"
#include "linear_fit.h"
#include "planner_cost.h"
#include "report_writer.h"
#include "scenario_reader.h"
#include "svg_plot.h"

ABSL_FLAG(std::string, output, "", "directory for runs.csv, runs.json and SVG plots; must exist");
ABSL_FLAG(std::uint64_t, seed, 0, "seed of the run instead of the scenario's; 0 for that one");
ABSL_FLAG(std::uint64_t, most, 300, "agents of the largest deployment in `discovery`");
ABSL_FLAG(std::uint64_t, buckets, 256, "buckets of the planner's table in `movement`");

namespace gaugevalve::lab {
namespace {

constexpr int kUsageError = 2;
constexpr std::string_view kUsage =
    "gaugevalve-lab [flags] run|compare|ablate SCENARIO.yaml, or gaugevalve-lab "
    "movement|capacity|discovery";

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / static_cast<double>(CLOCKS_PER_SEC);
}

RunResults RunOnce(const Scenario& scenario, Policy policy, const Mechanisms& mechanisms,
                   std::string_view label) {
  using std::chrono::duration_cast;
  using std::chrono::seconds;
  constexpr seconds kProgressStep(60);
  const double started = ProcessorSeconds();
  base::Duration shown{};
  Experiment experiment(scenario, policy, mechanisms);
  RunResults results = experiment.Run([&](base::Duration passed) {
    if (passed - shown >= kProgressStep) {
      shown = passed;
      std::cerr << "\r" << label << ": " << duration_cast<seconds>(passed).count() << " of "
                << duration_cast<seconds>(scenario.duration).count() << " s" << std::flush;
    }
  });
  const double used = ProcessorSeconds() - started;
  constexpr double kMicroseconds = 1e6;
  std::cerr << "\r" << label << ": " << results.events << " events, " << std::fixed
            << std::setprecision(2) << used << " s of processor time, "
            << used * kMicroseconds / static_cast<double>(results.events) << " us an event\n";
  results.policy = label;
  return results;
}

std::vector<RunResults> RunCommand(std::string_view command, const Scenario& scenario) {
  std::vector<RunResults> runs;
  if (command == "run") {
    runs.push_back(RunOnce(scenario, Policy::kGaugevalve, {}, ToString(Policy::kGaugevalve)));
  } else if (command == "compare") {
    for (const Policy policy : kAllPolicies) {
      runs.push_back(RunOnce(scenario, policy, {}, ToString(policy)));
    }
  } else if (command == "ablate") {
    for (const Variant& variant : AblationVariants()) {
      runs.push_back(RunOnce(scenario, Policy::kGaugevalve, variant.mechanisms, variant.name));
    }
  }
  return runs;
}

void PrintMovement() {
  struct Change {
    std::size_t before;
    std::size_t after;
  };
  std::cout << "| agents | policy | moved | minimum | imbalance afterwards |\n"
               "|---|---|---|---|---|\n"
            << std::fixed << std::setprecision(3);
  for (const Change change : {Change{3, 4}, {4, 3}, {7, 8}, {8, 7}, {7, 5}, {5, 7}}) {
    for (const routing::Movement& movement :
         routing::MeasureMovement(change.before, change.after, absl::GetFlag(FLAGS_buckets))) {
      std::cout << "| " << movement.before << " to " << movement.after << " | " << movement.policy
                << " | " << movement.moved << " | " << movement.minimum << " | "
                << movement.imbalance << " |\n";
    }
  }
}

struct MeasuredSize {
  PlannerSize size;
  PlannerCost cost;
};

void PrintCosts(const std::vector<MeasuredSize>& measured) {
  std::cout << "| agents | buckets | report, us | quiet step, us | step of a leave, us |"
               " table, bytes | whole report, bytes | report, bytes | answer, bytes |"
               " delta of a leave, bytes |\n|---|---|---|---|---|---|---|---|---|---|\n"
            << std::fixed << std::setprecision(1);
  for (const auto& [size, cost] : measured) {
    std::cout << "| " << size.agents << " | " << size.buckets << " | " << cost.report_microseconds
              << " | " << cost.quiet_step_microseconds << " | " << cost.leave_step_microseconds
              << " | " << cost.table_bytes << " | " << cost.whole_report_bytes << " | "
              << cost.report_bytes << " | " << cost.answer_bytes << " | " << cost.delta_bytes
              << " |\n";
  }
}

// Prints the line through one cost over the agents or the buckets of the sizes.
template <class Size, class Cost>
void PrintFit(std::string_view what, std::string_view over,
              const std::vector<MeasuredSize>& measured, const Size& size_of, const Cost& cost_of) {
  std::vector<FitPoint> points;
  points.reserve(measured.size());
  for (const auto& [size, cost] : measured) {
    points.push_back({static_cast<double>(size_of(size)), cost_of(cost)});
  }
  const LinearFit fit = FitLine(points);
  constexpr double kPercent = 100.0;
  std::cout << "| " << what << " | " << over << " | " << points.size() << " | " << fit.offset
            << " | " << fit.slope << " | " << fit.error * kPercent << " % |\n";
}

template <class Size>
void PrintFits(std::string_view over, const std::vector<MeasuredSize>& measured,
               const Size& size_of) {
  const auto fit = [&](std::string_view what, const auto& cost_of) {
    PrintFit(what, over, measured, size_of, cost_of);
  };
  fit("report, us", [](const PlannerCost& cost) { return cost.report_microseconds; });
  fit("quiet step, us", [](const PlannerCost& cost) { return cost.quiet_step_microseconds; });
  fit("step of a leave, us", [](const PlannerCost& cost) { return cost.leave_step_microseconds; });
  fit("table, bytes",
      [](const PlannerCost& cost) { return static_cast<double>(cost.table_bytes); });
  fit("report, bytes", [](const PlannerCost& cost) { return cost.report_bytes; });
}

std::vector<MeasuredSize> Measure(const std::vector<PlannerSize>& sizes) {
  std::vector<MeasuredSize> measured;
  measured.reserve(sizes.size());
  for (const PlannerSize& size : sizes) {
    measured.push_back({size, MeasurePlanner(size)});
  }
  return measured;
}

void PrintCapacity() {
  const std::vector<MeasuredSize> by_agents = Measure({{3, 256}, {4, 256}, {7, 256}, {20, 256}});
  const std::vector<MeasuredSize> by_buckets = Measure({{3, 64}, {3, 256}, {3, 1024}});
  PrintCosts(by_agents);
  std::cout << "\n";
  PrintCosts(by_buckets);
  std::cout << "\n| cost | over | sizes | offset | slope | error |\n|---|---|---|---|---|---|\n"
            << std::setprecision(3);
  PrintFits("agents, 256 buckets", by_agents, [](const PlannerSize& size) { return size.agents; });
  PrintFits("buckets, 3 agents", by_buckets, [](const PlannerSize& size) { return size.buckets; });
}

struct DeploymentSize {
  std::size_t balancers;
  std::size_t agents;
};

// The users' sizes, and the one aimed for (CONTRIBUTING).
constexpr std::array<DeploymentSize, 5> kDeploymentSizes = {
    {{3, 10}, {30, 100}, {91, 204}, {91, 300}, {660, 3800}}};

void WriteDiscoveryPlot(const std::vector<PlotCurve>& curves) {
  const std::string directory = absl::GetFlag(FLAGS_output);
  if (!directory.empty()) {
    std::ofstream file(directory + "/discovery.svg");
    WriteSvgPlot({"All balancers lost, agents live: until nine in ten can place", "agents", "ms"},
                 curves, file);
  }
}

void PrintDiscovery() {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const std::uint64_t seed = std::max<std::uint64_t>(1, absl::GetFlag(FLAGS_seed));
  std::cout
      << "| variant | balancers | agents | nine in ten can place, ms | all found, ms |"
         " messages a balancer | reports of the busiest agent |\n|---|---|---|---|---|---|---|\n";
  std::vector<PlotCurve> curves;
  for (const DiscoveryVariant& variant : DiscoveryVariants()) {
    curves.push_back({variant.name, {}});
    for (const DeploymentSize& size : kDeploymentSizes) {
      if (size.agents > absl::GetFlag(FLAGS_most)) {
        continue;
      }
      DiscoverySettings settings;
      settings.balancers = size.balancers;
      settings.agents = size.agents;
      settings.seed = seed;
      const DiscoveryResult result = RunDiscovery(settings, variant);
      const auto servable = duration_cast<milliseconds>(result.servable).count();
      std::cout << "| " << variant.name << " | " << size.balancers << " | " << size.agents << " | "
                << servable << " | " << duration_cast<milliseconds>(result.complete).count()
                << " | " << result.messages_per_balancer << " | " << result.busiest_agents_answers
                << " |" << std::endl;
      curves.back().points.push_back(
          {static_cast<double>(size.agents), static_cast<double>(servable)});
    }
  }
  WriteDiscoveryPlot(curves);
}

int Main(const std::vector<char*>& arguments) {
  const std::string_view command = arguments.size() > 1 ? arguments[1] : "";
  if (command == "movement" && arguments.size() == 2) {
    PrintMovement();
    return EXIT_SUCCESS;
  }
  if (command == "capacity" && arguments.size() == 2) {
    PrintCapacity();
    return EXIT_SUCCESS;
  }
  if (command == "discovery" && arguments.size() == 2) {
    PrintDiscovery();
    return EXIT_SUCCESS;
  }
  const bool known = command == "run" || command == "compare" || command == "ablate";
  if (!known || arguments.size() != 3) {
    std::cerr << kUsage << "\n";
    return kUsageError;
  }
  Scenario scenario = ReadScenario(arguments[2]);
  if (absl::GetFlag(FLAGS_seed) != 0) {
    scenario.seed = absl::GetFlag(FLAGS_seed);
  }
  std::cout << "scenario " << scenario.name << ", seed " << scenario.seed << "\n\n";
  WriteReports(RunCommand(command, scenario), scenario.phases, absl::GetFlag(FLAGS_output),
               std::cout);
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace gaugevalve::lab

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(gaugevalve::lab::kUsage.data());
  try {
    return gaugevalve::lab::Main(absl::ParseCommandLine(argc, argv));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
