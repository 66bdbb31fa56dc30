/// @file
/// One process of an agent, and the evidence that it runs.
#pragma once

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::routing {

/// One incarnation of an agent: `incarnation` identifies the process.
struct AgentIncarnation {
  base::NodeId node;
  base::Incarnation incarnation;

  friend bool operator==(const AgentIncarnation&, const AgentIncarnation&) = default;

  template <class HashState>
  friend HashState AbslHashValue(HashState state, const AgentIncarnation& id) {
    return HashState::combine(std::move(state), id.node, id.incarnation);
  }
};

/// How a node learned that the process of an agent runs.
enum class ContactSource : std::uint8_t {
  kMembership,     ///< a membership message, or its refutation of a suspicion
  kDissemination,  ///< a message about records
  kControl,        ///< a report or the answer to one
  kHandOver,       ///< a message about requests, whether or not it was handled
};

/// Returns the name used in the log, such as "membership".
std::string_view ToString(ContactSource source);

/// The process of an agent ran at `heard_at`, by this node's clock.
struct AgentContact {
  AgentIncarnation agent;
  ContactSource source = ContactSource::kMembership;
  base::TimePoint heard_at{};
};

/// The agents of one service that membership counts as live, in ascending order of node.
using LiveAgents = std::vector<AgentIncarnation>;

}  // namespace gaugevalve::routing
