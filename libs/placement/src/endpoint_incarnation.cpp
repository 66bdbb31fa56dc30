#include "gaugevalve/placement/endpoint_incarnation.h"

#include "gaugevalve/base/hash.h"

namespace gaugevalve::placement {

std::uint32_t EndpointHash(const EndpointIncarnation& incarnation) {
  return static_cast<std::uint32_t>(base::HashText(incarnation.id, incarnation.started_ms));
}

}  // namespace gaugevalve::placement
