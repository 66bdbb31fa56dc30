// The planner roster: the balancers among which the planners of services are chosen.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/identifiers.h"

namespace gaugevalve::control {

// Most members of a roster.
inline constexpr std::size_t kMaxRosterMembers = 64;

// One life of a balancer.
struct RosterMember {
  base::NodeId node;
  base::Incarnation life;  // a restarted balancer plans only after the roster names its new life
  std::uint32_t slot = 0;  // unique to this life within the epoch; part of its generations

  friend bool operator==(const RosterMember&, const RosterMember&) = default;
};

// What the coordinator publishes; ordered by (epoch, sequence).
struct Roster {
  std::uint64_t epoch = 0;  // store revision of the coordinator's lease: the fencing token
  std::uint32_t sequence = 0;
  std::vector<RosterMember> members;
  // Settings schema that a balancer must understand to go in service; 0 while it isn't known.
  std::uint32_t settings_schema = 0;

  // Returns the member with this node, or null.
  const RosterMember* Find(base::NodeId node) const;

  friend bool operator==(const Roster&, const Roster&) = default;
};

// Returns the record's bytes.
std::string EncodeRoster(const Roster& roster);

// Returns the roster; nothing when the bytes are malformed or name too many members.
std::optional<Roster> DecodeRoster(std::string_view bytes);

}  // namespace gaugevalve::control
