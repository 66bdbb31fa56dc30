// Finds the agent that a QUIC connection ID names.
#pragma once

#include <optional>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/connection_id/connection_id.h"

namespace gaugevalve::forwarding {

// The seam to the keys under which agents issue connection IDs. Implementations are called on the
// data path: they must not block.
class ConnectionIdRouter {
 public:
  virtual ~ConnectionIdRouter() = default;

  // Returns the agent that issued the ID; nothing when it was chosen by the client, or made under a
  // key that isn't known. The agent need not be in service any more.
  virtual std::optional<base::NodeId> Route(const connection_id::ConnectionId& id) const = 0;
};

}  // namespace gaugevalve::forwarding
