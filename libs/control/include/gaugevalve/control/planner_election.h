// Election of the balancer that plans a service. Every node with the same roster and members gets
// the same result without a message.
#pragma once

#include <cstdint>
#include <optional>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/control/member_directory.h"
#include "gaugevalve/control/roster.h"
#include "gaugevalve/routing/table_version.h"

namespace gaugevalve::control {

// The planner of a service. `tag` makes its generations differ from those of every other planner.
// It is the roster slot or, without a live roster member, a hash of the incarnation from
// kFirstHashedTag upwards.
struct ElectedPlanner {
  base::NodeId node;
  std::uint32_t tag = 0;

  friend bool operator==(const ElectedPlanner&, const ElectedPlanner&) = default;
};

// A generation is (number of take-overs, tag). The take-overs in the upper bits order it. The tag
// prevents two planners that take over at the same time, on the two sides of a network partition,
// from using the same versions.
inline constexpr std::uint32_t kTagBits = 16;
inline constexpr std::uint32_t kFirstHashedTag = 0x8000;

// Returns the planner: the first live member of the roster in rendezvous order of (service, node),
// or the first of all live balancers if no member of the roster is live. Nothing without balancers.
std::optional<ElectedPlanner> ElectPlanner(base::ServiceId service, const Roster& roster,
                                           const MemberDirectory& directory);

// Returns the generation with which a planner takes over after a table of version `newest`, within
// `epoch`.
std::uint32_t TakeOverGeneration(const routing::TableVersion& newest, std::uint64_t epoch,
                                 std::uint32_t tag);

}  // namespace gaugevalve::control
