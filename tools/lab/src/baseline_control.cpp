#include "baseline_control.h"

#include <algorithm>

namespace gaugevalve::lab {

std::vector<base::NodeId> BaselineControl::Serving(std::size_t service) const {
  std::vector<base::NodeId> nodes;
  for (const std::unique_ptr<AgentHost>& agent : world_.agents) {
    if (agent->service == service && agent->IsServing()) {
      nodes.push_back(agent->node);
    }
  }
  std::sort(nodes.begin(), nodes.end());
  return nodes;
}

void BaselineControl::Start() {
  for (const std::unique_ptr<BalancerHost>& balancer : world_.balancers) {
    Welcome(*balancer);
  }
}

void BaselineControl::Welcome(BalancerHost& balancer) {
  for (std::size_t service = 0; service < balancer.choosers.size(); ++service) {
    balancer.choosers[service]->SetAgents(Serving(service));
  }
}

void BaselineControl::NoteChange(std::size_t service) {
  const std::vector<base::NodeId> serving = Serving(service);
  for (const std::unique_ptr<BalancerHost>& balancer : world_.balancers) {
    const std::size_t index = balancer->index;
    world_.Schedule(world_.scenario.lag.membership + balancer->table_delay,
                    [this, index, service, serving] {
                      world_.balancers[index]->choosers[service]->SetAgents(serving);
                    });
  }
}

}  // namespace gaugevalve::lab
