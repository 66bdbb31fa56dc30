// The identifiers that every part of the system shares.
#pragma once

#include <cstdint>
#include <string_view>

#include "gaugevalve/base/strong_id.h"

namespace gaugevalve::base {

// A process of the system (balancer or agent), for as long as its name is configured. It is the
// 64-bit hash of the node's configured name, so nodes agree on it without a registry.
using NodeId = StrongId<struct NodeIdTag, std::uint64_t>;

// One life of a node. It grows with each start of the process and with each refutation of a
// suspicion; a larger incarnation of the same node is always the newer one. Unit: microseconds
// since the Unix epoch at the start of the process, plus refutations.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

// A service of the settings tree: the 32-bit hash of its name. The settings checker reports two
// services whose names collide as a finding.
using ServiceId = StrongId<struct ServiceIdTag, std::uint32_t>;

// A slot of a service's bucket table, in [0, bucket count).
using BucketIndex = StrongId<struct BucketIndexTag, std::uint16_t>;

// A committed state of the settings tree. Revisions are the store's, totally ordered; 0 is "none".
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

// Returns the identifier of the node with this configured name.
NodeId MakeNodeId(std::string_view node_name);

// Returns the identifier of the service with this name in the settings tree.
ServiceId MakeServiceId(std::string_view service_name);

}  // namespace gaugevalve::base
