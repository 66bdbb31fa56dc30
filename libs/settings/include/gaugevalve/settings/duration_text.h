// Durations as people write them in settings: "1500ms", "2s", "5m".
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gaugevalve/base/time.h"

namespace gaugevalve::settings {

// Returns the duration for a whole number with one unit (us, ms, s, m or h); nothing when the text
// is malformed, negative or too large for the type.
std::optional<base::Duration> ParseDuration(std::string_view text);

// Returns the shortest text with a whole number that ParseDuration() reads back to `duration`,
// which must not be negative.
std::string FormatDuration(base::Duration duration);

}  // namespace gaugevalve::settings
