// What a node says of itself at GET /status on its admin port.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::ctl {

// A member of the deployment as a node knows it.
struct MemberStatus {
  base::NodeId node;
  std::string role;
  std::string zone;
  std::string state;                                 // "alive", "suspect", ...: see docs/operators
  std::string control_address;                       // how people tell balancers apart
  std::optional<base::SocketAddress> admin_address;  // absent when the node doesn't tell it
};

// One node's status: what the tool needs of control::FormatStatus()'s JSON; other keys are ignored.
struct NodeStatus {
  std::string name;
  base::NodeId node;
  std::string role;
  std::string region;
  std::string zone;
  base::Revision revision_in_force;  // 0: none yet
  base::Revision newest_revision;    // newest that it has heard of; agents don't say
  std::string refused_because;       // findings of a revision that it could not apply
  bool holds_lease = false;
  std::vector<MemberStatus> members;
};

// Returns the status in the JSON text. Throws base::FindingsError, naming `source`.
NodeStatus ParseNodeStatus(std::string_view text, const std::string& source);

}  // namespace gaugevalve::ctl
