// Header fields that concern one connection and are never passed on.
#pragma once

#include <string_view>

namespace gaugevalve::agent {

// Returns whether a field with this lower-case name belongs to one connection only (RFC 9110,
// section 7.6.1, and RFC 9114, section 4.2).
bool IsConnectionField(std::string_view lower_case_name);

}  // namespace gaugevalve::agent
