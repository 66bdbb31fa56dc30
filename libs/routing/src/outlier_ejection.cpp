#include "gaugevalve/routing/outlier_ejection.h"

#include <algorithm>
#include <vector>

namespace gaugevalve::routing {
namespace {

// An outlier's failure rate is above this multiple of the service's median.
constexpr double kOutlierMedianFactor = 3.0;

// Maximum length of an ejection, in multiples of the ejection time.
constexpr std::uint32_t kMaxConsecutiveEjections = 10;

double MedianFailureRate(std::span<const AgentView> agents) {
  std::vector<double> rates;
  for (const AgentView& agent : agents) {
    rates.push_back(agent.failure_rate);
  }
  const auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
  std::nth_element(rates.begin(), middle, rates.end());
  return *middle;
}

}  // namespace

OutlierEjection::OutlierEjection(double failure_rate, base::Duration ejection_time,
                                 double max_ejected_share)
    : failure_rate_(failure_rate),
      ejection_time_(ejection_time),
      max_ejected_share_(max_ejected_share) {}

std::size_t OutlierEjection::EjectedCount() const {
  return static_cast<std::size_t>(std::count_if(
      records_.begin(), records_.end(), [](const auto& entry) { return entry.second.ejected; }));
}

void OutlierEjection::RemoveAbsent(std::span<const AgentView> agents) {
  std::erase_if(records_, [&](const auto& entry) {
    return std::none_of(agents.begin(), agents.end(),
                        [&](const AgentView& agent) { return agent.node == entry.first; });
  });
}

void OutlierEjection::ReadmitDue(base::TimePoint now) {
  for (auto& [node, record] : records_) {
    if (record.ejected && now >= record.until) {
      record.ejected = false;
    }
  }
  // The record is removed when a full ejection time has passed without another ejection.
  std::erase_if(records_, [&](const auto& entry) {
    return !entry.second.ejected && now >= entry.second.until + ejection_time_;
  });
}

bool OutlierEjection::IsOutlier(const AgentView& agent, double median) const {
  return agent.failure_rate >= failure_rate_ && agent.failure_rate > kOutlierMedianFactor * median;
}

void OutlierEjection::EjectWorst(std::span<const AgentView> agents, base::TimePoint now) {
  const auto cap =
      static_cast<std::size_t>(max_ejected_share_ * static_cast<double>(agents.size()));
  const double median = MedianFailureRate(agents);
  std::vector<const AgentView*> outliers;
  for (const AgentView& agent : agents) {
    const auto record = records_.find(agent.node);
    const bool is_already_ejected = record != records_.end() && record->second.ejected;
    if (!is_already_ejected && IsOutlier(agent, median)) {
      outliers.push_back(&agent);
    }
  }
  std::stable_sort(outliers.begin(), outliers.end(), [](const auto* left, const auto* right) {
    return left->failure_rate > right->failure_rate;
  });
  for (const AgentView* agent : outliers) {
    if (EjectedCount() >= cap) {
      return;
    }
    Record& record = records_[agent->node];
    record.consecutive_ejections =
        std::min(record.consecutive_ejections + 1, kMaxConsecutiveEjections);
    record.ejected = true;
    record.until = now + ejection_time_ * record.consecutive_ejections;
  }
}

void OutlierEjection::Adjust(std::span<const AgentView> agents, base::TimePoint now,
                             std::span<double> shares) {
  if (agents.empty()) {
    return;
  }
  RemoveAbsent(agents);
  ReadmitDue(now);
  EjectWorst(agents, now);
  // The cap falls when agents leave. Agents above it are readmitted, those whose ejection ends
  // first before others.
  const auto cap =
      static_cast<std::size_t>(max_ejected_share_ * static_cast<double>(agents.size()));
  while (EjectedCount() > cap) {
    auto first_due = records_.end();
    for (auto entry = records_.begin(); entry != records_.end(); ++entry) {
      const bool earlier =
          first_due == records_.end() || entry->second.until < first_due->second.until;
      if (entry->second.ejected && earlier) {
        first_due = entry;
      }
    }
    first_due->second.ejected = false;
  }
  for (std::size_t position = 0; position < agents.size(); ++position) {
    const auto record = records_.find(agents[position].node);
    if (record != records_.end() && record->second.ejected) {
      shares[position] = 0.0;
    }
  }
}

}  // namespace gaugevalve::routing
