// Who an endpoint is.
#pragma once

#include <string>

namespace gaugevalve::standins {

// An endpoint's configured name and the service it belongs to.
struct EndpointIdentity {
  std::string name;
  std::string service;
};

}  // namespace gaugevalve::standins
