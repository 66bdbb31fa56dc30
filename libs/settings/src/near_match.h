// Suggestions for misspelt keys.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace gaugevalve::settings {

// Returns "unknown key 'slotz'; did you mean 'slots'?" when one of `known` is close by edit
// distance, else "unknown key 'slotz'; known here: ..." with all of them.
std::string DescribeUnknownKey(std::string_view key, std::span<const std::string_view> known);

}  // namespace gaugevalve::settings
