// Outlier ejection: an endpoint that fails far more than its peers gets no new flows for a while.
#pragma once

#include <cstdint>
#include <map>

#include "gaugevalve/routing/share_policy.h"

namespace gaugevalve::routing {

// Sets the share of failing agents to zero. At most `max_ejected_share` of the live agents (rounded
// down) are out at once, the worst first: when most of a service fails, the fault is likely not
// theirs and ejecting them would only overload the rest. State: one entry per agent seen failing;
// entries of agents no longer live are dropped.
class OutlierEjection final : public SharePolicy {
 public:
  // `failure_rate` in failures a second; `ejection_time` grows with each ejection in a row.
  OutlierEjection(double failure_rate, base::Duration ejection_time, double max_ejected_share);

  void Adjust(std::span<const AgentView> agents, base::TimePoint now,
              std::span<double> shares) override;

  // Returns how many agents are out since the last call of Adjust().
  std::size_t EjectedCount() const;

 private:
  struct Record {
    bool ejected = false;
    base::TimePoint until{};
    std::uint32_t ejections_in_a_row = 0;
  };

  void RemoveAbsent(std::span<const AgentView> agents);
  void ReadmitDue(base::TimePoint now);
  void EjectWorst(std::span<const AgentView> agents, base::TimePoint now);
  bool IsOutlier(const AgentView& agent, double median) const;

  double failure_rate_;
  base::Duration ejection_time_;
  double max_ejected_share_;
  std::map<base::NodeId, Record> records_;
};

}  // namespace gaugevalve::routing
