#include "gaugevalve/daemon/static_view.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace gaugevalve::daemon {
namespace {

// The version of all tables built from static settings.
constexpr routing::TableVersion kStaticVersion{0, 0, 1};

std::vector<routing::AgentEntry> AgentsOf(const settings::NodeSettings& node,
                                          const settings::StaticService& service,
                                          base::Incarnation own_incarnation) {
  std::vector<routing::AgentEntry> agents;
  for (const settings::StaticAgent& agent : node.static_settings->agents) {
    if (agent.service == service.name) {
      const base::NodeId id = base::MakeNodeId(agent.node);
      const base::Incarnation incarnation = id == node.Id() ? own_incarnation : base::Incarnation();
      agents.push_back({id, incarnation, agent.data_address, agent.zone});
    }
  }
  return agents;
}

control::ServiceKind ToViewKind(settings::ServiceKind kind) {
  return kind == settings::ServiceKind::kHttp3 ? control::ServiceKind::kHttp3
                                               : control::ServiceKind::kDatagram;
}

}  // namespace

std::shared_ptr<const control::NodeView> MakeStaticView(const settings::NodeSettings& node,
                                                        base::Incarnation own_incarnation) {
  auto view = std::make_shared<control::NodeView>();
  view->confirmed_at = base::TimePoint::max();
  for (const settings::StaticService& service : node.static_settings->services) {
    const base::ServiceId id = base::MakeServiceId(service.name);
    auto table = std::make_shared<const routing::BucketTable>(routing::MakeInitialTable(
        id, kStaticVersion, AgentsOf(node, service, own_incarnation), service.bucket_count));
    view->services.push_back(
        {id, service.name, ToViewKind(service.kind), service.virtual_address, std::move(table)});
  }
  std::sort(view->services.begin(), view->services.end(), [](const auto& left, const auto& right) {
    return left.virtual_address < right.virtual_address;
  });
  return view;
}

}  // namespace gaugevalve::daemon
