// Builds the view of the data path from the control state.
#pragma once

#include <map>
#include <memory>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/control/node_view.h"
#include "gaugevalve/control/settings_activator.h"
#include "gaugevalve/routing/bucket_table.h"

namespace gaugevalve::control {

using TablesByService = std::map<base::ServiceId, std::shared_ptr<const routing::BucketTable>>;

// Returns the view of a balancer: every active service that has a table.
std::shared_ptr<const NodeView> BuildBalancerView(const ActiveSettings& active,
                                                  const TablesByService& tables,
                                                  base::TimePoint confirmed_at);

// Returns the view of an agent: its own service once it has settings and a table. `table` and
// `live_agents` may be null.
std::shared_ptr<const NodeView> BuildAgentView(
    const ServiceSettingsReader& reader, std::shared_ptr<const routing::BucketTable> table,
    std::shared_ptr<const routing::LiveAgents> live_agents, base::TimePoint confirmed_at);

}  // namespace gaugevalve::control
