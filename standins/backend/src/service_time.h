// How long an endpoint takes to run a request.
#pragma once

#include "endpoint_faults.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::standins {

// The speed of an endpoint.
struct ServiceTimeSettings {
  base::Duration when_warm{};                 // for one request
  base::Duration cold_start{};                // from the start of the process until it is warm
  std::uint32_t cold_slowdown_percent = 100;  // of `when_warm` at the start, falling evenly to 100
};

// Returns the time of a request that begins `uptime` after the endpoint's start.
base::Duration ServiceTime(const ServiceTimeSettings& settings, const EndpointFaults& faults,
                           base::Duration uptime);

}  // namespace gaugevalve::standins
