// The incarnation of a process.
#pragma once

#include "gaugevalve/base/identifiers.h"

namespace gaugevalve::daemon {

// Returns a new incarnation for this process: microseconds since the Unix epoch. See
// base::Incarnation.
base::Incarnation MakeIncarnation();

}  // namespace gaugevalve::daemon
