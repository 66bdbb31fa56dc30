// Where a request runs: at the endpoint of its flow's agent, or handed over to another.
#pragma once

#include <vector>

#include "gaugevalve/base/time.h"
#include "world.h"

namespace gaugevalve::lab {

// Models the agents' hand-over of requests: an agent whose endpoint is half busy or more, or that
// is leaving, asks two other agents for their load (one round trip, the power of two choices) and
// runs the request at the least loaded. The bound knows all loads without asking.
class RequestRunner {
 public:
  explicit RequestRunner(World& world) : world_(world) {}

  // Runs a request that came in a flow of this agent.
  void Run(AgentHost& agent, base::Duration service_time);

 private:
  void RunAtLeastLoaded(AgentHost& agent, base::Duration service_time);
  void RunHere(AgentHost& agent, base::Duration service_time);
  void HandOver(AgentHost& agent, base::Duration service_time);
  void Settle(AgentHost& agent, const std::vector<std::size_t>& asked, base::Duration service_time);
  double LoadOf(const AgentHost& agent) const;
  std::vector<std::size_t> ServingOthers(const AgentHost& agent) const;

  World& world_;
};

}  // namespace gaugevalve::lab
