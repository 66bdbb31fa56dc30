#include "gaugevalve/control/readiness.h"

#include <algorithm>

namespace gaugevalve::control {
namespace {

bool HasTable(const NodeView& view, base::ServiceId service) {
  return std::any_of(view.services.begin(), view.services.end(),
                     [&](const ServiceView& candidate) { return candidate.id == service; });
}

// A service without live agents has no table to wait for.
void AddMissingTables(const ControlNode& node, const NodeView& view,
                      std::vector<std::string>& missing) {
  const auto& settings = node.Settings().Active().settings;
  if (settings == nullptr) {
    return;
  }
  for (const settings::ServiceSettings& service : settings->services) {
    if (!HasTable(view, service.id) && !node.Directory().AgentsOf(service.id).empty()) {
      missing.push_back("no bucket table of service " + service.name + ", which has agents");
    }
  }
}

void AddMissingOfBalancer(const ControlNode& node, const NodeView& view,
                          std::vector<std::string>& missing) {
  if (node.Settings().Active().settings == nullptr) {
    missing.emplace_back("no settings in force");
  }
  const bool has_peer = node.Directory().Balancers().size() > 1;
  if (has_peer && view.confirmed_at == base::TimePoint{}) {
    missing.emplace_back("records not yet found equal with another node's");
  }
  AddMissingTables(node, view, missing);
}

void AddMissingOfAgent(const ControlNode& node, const NodeView& view,
                       std::vector<std::string>& missing) {
  const std::string& service = node.Options().service_name;
  if (view.own_service == nullptr) {
    missing.push_back("no settings of service " + service);
  }
  if (!HasTable(view, node.Options().metadata.service)) {
    missing.push_back("no bucket table of service " + service);
  }
  if (view.confirmed_at == base::TimePoint{}) {
    missing.push_back("bucket table not yet confirmed by the planner of service " + service);
  }
}

}  // namespace

std::vector<std::string> Readiness::Missing(const ControlNode& node) {
  std::vector<std::string> missing;
  if (was_ready_) {
    return missing;
  }
  if (!node.Members().IsJoined()) {
    missing.emplace_back("not joined to the other nodes");
  }
  const NodeView nothing_yet;
  const std::shared_ptr<const NodeView> view = node.View();
  const NodeView& known = view == nullptr ? nothing_yet : *view;
  if (node.IsBalancer()) {
    AddMissingOfBalancer(node, known, missing);
  } else {
    AddMissingOfAgent(node, known, missing);
  }
  was_ready_ = missing.empty();
  return missing;
}

}  // namespace gaugevalve::control
