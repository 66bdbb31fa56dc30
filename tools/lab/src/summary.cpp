#include "summary.h"

#include <algorithm>
#include <map>

namespace gaugevalve::lab {
namespace {

// Returns the value below which `part` of the values lie; the values are reordered. 0 for none.
template <class Value>
Value Quantile(std::vector<Value>& values, double part) {
  if (values.empty()) {
    return Value{};
  }
  const auto last = static_cast<double>(values.size() - 1);
  const auto position = values.begin() + static_cast<std::ptrdiff_t>(part * last);
  std::nth_element(values.begin(), position, values.end());
  return *position;
}

// Sums up each agent's busy slots over the windows in which it served, so that their noise cancels
// out and only lasting differences stay. Agents that served in part of the phase count by mean.
class OverallLoad {
 public:
  void Add(const WindowSample& window) {
    for (const AgentSample& agent : window.agents) {
      if (agent.serving) {
        Sum& sum = sums_[agent.agent];
        sum.utilisation += agent.utilisation;
        ++sum.windows;
      }
    }
  }

  double Imbalance() const {
    double most = 0.0;
    double total = 0.0;
    for (const auto& [agent, sum] : sums_) {
      const double mean = sum.utilisation / static_cast<double>(sum.windows);
      most = std::max(most, mean);
      total += mean;
    }
    return total > 0.0 ? most * static_cast<double>(sums_.size()) / total : 1.0;
  }

 private:
  struct Sum {
    double utilisation = 0.0;
    std::size_t windows = 0;
  };

  std::map<std::string, Sum> sums_;
};

double MeanUtilisation(const WindowSample& window) {
  double sum = 0.0;
  std::size_t serving = 0;
  for (const AgentSample& agent : window.agents) {
    sum += agent.serving ? agent.utilisation : 0.0;
    serving += agent.serving ? 1 : 0;
  }
  return serving > 0 ? sum / static_cast<double>(serving) : 0.0;
}

PhaseSummary SummarisePhase(const ServiceResults& service, const Phase& phase) {
  PhaseSummary summary;
  summary.phase = phase.name;
  std::vector<double> imbalances;
  OverallLoad overall;
  double ramped_sum = 0.0;
  double utilisation_sum = 0.0;
  std::uint64_t broken_before = 0;
  std::uint64_t moved_before = 0;
  for (const WindowSample& window : service.windows) {
    if (window.end <= phase.from) {
      broken_before = window.broken_flows;
      moved_before = window.moved_buckets;
    } else if (window.end <= phase.to) {
      imbalances.push_back(ImbalanceOf(window, false));
      ramped_sum += ImbalanceOf(window, true);
      utilisation_sum += MeanUtilisation(window);
      overall.Add(window);
      summary.broken_flows = window.broken_flows - broken_before;
      summary.moved_buckets = window.moved_buckets - moved_before;
    }
  }
  summary.windows = imbalances.size();
  if (summary.windows > 0) {
    const auto count = static_cast<double>(summary.windows);
    double sum = 0.0;
    for (const double imbalance : imbalances) {
      sum += imbalance;
    }
    summary.mean_imbalance = sum / count;
    summary.mean_ramped_imbalance = ramped_sum / count;
    summary.mean_utilisation = utilisation_sum / count;
    summary.overall_imbalance = overall.Imbalance();
    summary.p95_imbalance = Quantile(imbalances, 0.95);
  }
  std::vector<base::Duration> waits;
  for (const WaitSample& wait : service.waits) {
    if (wait.at > phase.from && wait.at <= phase.to) {
      waits.push_back(wait.wait);
    }
  }
  summary.p99_wait = Quantile(waits, 0.99);
  return summary;
}

}  // namespace

std::vector<PhaseSummary> Summarise(const ServiceResults& service,
                                    const std::vector<Phase>& phases) {
  std::vector<PhaseSummary> summaries;
  summaries.reserve(phases.size() + 1);
  for (const Phase& phase : phases) {
    summaries.push_back(SummarisePhase(service, phase));
  }
  if (phases.empty() && !service.windows.empty()) {
    summaries.push_back(
        SummarisePhase(service, {"all", base::Duration::zero(), service.windows.back().end}));
  }
  return summaries;
}

}  // namespace gaugevalve::lab
