// The view of a node that runs without a store: services and agents from its settings file.
#pragma once

#include <memory>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/control/node_view.h"
#include "gaugevalve/settings/node_settings.h"

namespace gaugevalve::daemon {

// Returns a view of all static services, with first tables over the static agents. It never
// becomes outdated. The incarnations of other nodes are unknown and set to 0. Agents treat 0 as a
// former incarnation and use their own table. The node's own entry has `own_incarnation`.
std::shared_ptr<const control::NodeView> MakeStaticView(const settings::NodeSettings& node,
                                                        base::Incarnation own_incarnation);

}  // namespace gaugevalve::daemon
