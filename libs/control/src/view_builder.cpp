#include "gaugevalve/control/view_builder.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::control {
namespace {

ServiceView MakeServiceView(const settings::ServiceSettings& service,
                            std::shared_ptr<const routing::BucketTable> table) {
  const ServiceKind kind =
      service.kind == settings::ServiceKind::kHttp3 ? ServiceKind::kHttp3 : ServiceKind::kDatagram;
  return {service.id, service.name, kind, service.virtual_address, std::move(table), nullptr};
}

}  // namespace

std::shared_ptr<const NodeView> BuildBalancerView(const ActiveSettings& active,
                                                  const TablesByService& tables,
                                                  base::TimePoint confirmed_at) {
  auto view = std::make_shared<NodeView>();
  view->revision = active.revision;
  view->confirmed_at = confirmed_at;
  if (active.settings == nullptr) {
    return view;
  }
  for (const settings::ServiceSettings& service : active.settings->services) {
    const auto table = tables.find(service.id);
    if (table != tables.end()) {
      view->services.push_back(MakeServiceView(service, table->second));
    }
  }
  std::sort(view->services.begin(), view->services.end(),
            [](const ServiceView& left, const ServiceView& right) {
              return left.virtual_address < right.virtual_address;
            });
  return view;
}

std::shared_ptr<const NodeView> BuildAgentView(
    const ServiceSettingsReader& reader, std::shared_ptr<const routing::BucketTable> table,
    std::shared_ptr<const routing::LiveAgents> live_agents, base::TimePoint confirmed_at) {
  auto view = std::make_shared<NodeView>();
  view->revision = reader.Revision();
  view->confirmed_at = confirmed_at;
  view->own_service = reader.Settings();
  if (view->own_service != nullptr && table != nullptr) {
    view->services.push_back(MakeServiceView(*view->own_service, std::move(table)));
    view->services.back().live_agents = std::move(live_agents);
  }
  return view;
}

}  // namespace gaugevalve::control
