// Planner roster: the balancers from which the planners of services are elected.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/identifiers.h"

namespace gaugevalve::control {

// Maximum number of members of a roster.
inline constexpr std::size_t kMaxRosterMembers = 64;

// One incarnation of a balancer.
struct RosterMember {
  base::NodeId node;
  // Incarnation; a restarted balancer plans only after the roster lists its new one.
  base::Incarnation incarnation;
  std::uint32_t slot = 0;  // unique to this incarnation within the epoch; part of its generations

  friend bool operator==(const RosterMember&, const RosterMember&) = default;
};

// Roster as published by the coordinator; ordered by (epoch, sequence).
struct Roster {
  std::uint64_t epoch = 0;  // store revision of the coordinator's lease: the fencing token
  std::uint32_t sequence = 0;
  std::vector<RosterMember> members;
  // Settings schema that a balancer must understand to go into service; 0 while it isn't known.
  std::uint32_t settings_schema = 0;

  // Returns the member with this node, or null.
  const RosterMember* Find(base::NodeId node) const;

  friend bool operator==(const Roster&, const Roster&) = default;
};

std::string EncodeRoster(const Roster& roster);

// Returns the roster; nothing when the bytes are malformed or name too many members.
std::optional<Roster> DecodeRoster(std::string_view bytes);

}  // namespace gaugevalve::control
