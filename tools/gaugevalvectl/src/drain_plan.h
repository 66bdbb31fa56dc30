// Which edit drains or undrains what an operator names.
#pragma once

#include <string>
#include <vector>

#include "gaugevalve/settings/tree_operation.h"

namespace gaugevalve::ctl {

// What the operator wants of the target.
enum class DrainWish { kDrain, kUndrain };

// Returns the operations for a target: an endpoint ("orders-1", or "orders/orders-1" with its
// service when several have one of the name) or a zone ("north/east", or "east" when one region has
// it). Throws base::FindingsError when the target is unknown, ambiguous, or already as wished.
std::vector<settings::TreeOperation> PlanDrain(const settings::SettingsTree& tree,
                                               const std::string& target, DrainWish wish);

}  // namespace gaugevalve::ctl
