// Status of a node's control plane for operators, as JSON (docs/operators/control-plane.md).
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/control/control_node.h"

namespace gaugevalve::control {

// State of the store client, which the control core doesn't know.
struct StoreStatus {
  bool in_use = false;     // this node should read the store
  bool streaming = false;  // its watch is open and delivers changes
  std::string lease;       // "held", "lapsed", "not held", or "" if the lease isn't sought
};

// Returns the status document.
std::string FormatStatus(const ControlNode& node, const StoreStatus& store, base::TimePoint now);

// Returns why a flow from this source address and port goes to its agent: bucket, owner, chain and
// their version. Nothing if no such service is active here.
std::optional<std::string> ExplainFlow(const ControlNode& node, std::string_view service,
                                       const base::SocketAddress& source);

}  // namespace gaugevalve::control
