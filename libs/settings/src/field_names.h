// The keys that branches may have.
#pragma once

#include <string_view>
#include <vector>

#include "gaugevalve/settings/field_schema.h"

namespace gaugevalve::settings {

// Returns the keys that a branch of this level may have, for hints.
std::vector<std::string_view> KnownKeys(Level level);

}  // namespace gaugevalve::settings
