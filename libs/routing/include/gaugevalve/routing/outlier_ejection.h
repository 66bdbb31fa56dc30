// Outlier ejection: an endpoint that fails far more often than its peers gets no new flows for a
// time.
#pragma once

#include <cstdint>
#include <map>

#include "gaugevalve/routing/share_policy.h"

namespace gaugevalve::routing {

// Sets the share of failing agents to zero. At most `max_ejected_share` of the live agents (rounded
// down) are ejected at once, the worst first: when most of a service fails, the cause is likely
// outside of the agents, and ejecting them would only overload the others. State: one entry for
// each agent seen failing; entries of agents that are no longer live are removed.
class OutlierEjection final : public SharePolicy {
 public:
  // `failure_rate` is in failures a second. An ejection lasts `ejection_time` times the number of
  // consecutive ejections.
  OutlierEjection(double failure_rate, base::Duration ejection_time, double max_ejected_share);

  void Adjust(std::span<const AgentView> agents, base::TimePoint now,
              std::span<double> shares) override;

  // Returns how many agents the last call of Adjust() left ejected.
  std::size_t EjectedCount() const;

 private:
  struct Record {
    bool ejected = false;
    base::TimePoint until{};
    std::uint32_t consecutive_ejections = 0;
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
