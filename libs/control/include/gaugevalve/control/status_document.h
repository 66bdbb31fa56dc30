// What a node tells operators of its control side, as JSON (docs/operators/control-plane.md).
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/control/control_node.h"

namespace gaugevalve::control {

// What the shell knows and the core doesn't.
struct StoreStatus {
  bool in_use = false;     // this node reads the store
  bool streaming = false;  // its watch is open: changes arrive by it
  std::string lease;       // "held", "lapsed", "not held" or "" when not sought
};

// Returns the whole status.
std::string FormatStatus(const ControlNode& node, const StoreStatus& store, base::TimePoint now);

// Returns why a flow of the service from this source address and port goes where it goes: bucket,
// owner, chain and their version. Nothing when no such service is in force here.
std::optional<std::string> ExplainFlow(const ControlNode& node, std::string_view service,
                                       const base::SocketAddress& source);

}  // namespace gaugevalve::control
