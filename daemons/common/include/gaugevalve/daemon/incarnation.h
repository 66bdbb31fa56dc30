// The incarnation of a process.
#pragma once

#include "gaugevalve/base/identifiers.h"

namespace gaugevalve::daemon {

// Returns this life of the process: microseconds since the Unix epoch; see base::Incarnation.
base::Incarnation MakeIncarnation();

}  // namespace gaugevalve::daemon
