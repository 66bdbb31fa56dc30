// Identifier of one hand-over.
#pragma once

#include <compare>
#include <cstdint>
#include <utility>

#include "gaugevalve/base/identifiers.h"

namespace gaugevalve::requests {

// The incarnation of the agent that terminates the caller's connection, its own counter, and the
// incarnation of the agent that is asked to run the request. Unique in the service.
struct HandOverId {
  base::NodeId origin;
  base::Incarnation origin_incarnation;
  std::uint64_t number = 0;
  base::NodeId executor;
  base::Incarnation executor_incarnation;

  friend auto operator<=>(const HandOverId&, const HandOverId&) = default;

  template <class HashState>
  friend HashState AbslHashValue(HashState state, const HandOverId& id) {
    return HashState::combine(std::move(state), id.origin, id.origin_incarnation, id.number,
                              id.executor, id.executor_incarnation);
  }
};

}  // namespace gaugevalve::requests
