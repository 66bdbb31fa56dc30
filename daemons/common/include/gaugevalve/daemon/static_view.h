// The view of a node that runs without a store: services and agents from its settings file.
#pragma once

#include <memory>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/control/node_view.h"
#include "gaugevalve/settings/node_settings.h"

namespace gaugevalve::daemon {

// Returns a view of all static services, with first tables over the static agents. It never grows
// stale. Nobody knows the others' incarnations here, so they are 0, which agents take for a former
// life and go by their own table; `own_incarnation` is put in for the node itself.
std::shared_ptr<const control::NodeView> MakeStaticView(const settings::NodeSettings& node,
                                                        base::Incarnation own_incarnation);

}  // namespace gaugevalve::daemon
