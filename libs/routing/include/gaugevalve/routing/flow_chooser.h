// Baseline algorithms by which a balancer chooses agents without bucket tables.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "gaugevalve/base/identifiers.h"

namespace gaugevalve::routing {

// Chooses the agent of a datagram from the hash of its flow key and the agents that this balancer
// knows. Each balancer has its own instance. Not used in production: the emulator compares bucket
// tables with these algorithms in one run.
class FlowChooser {
 public:
  virtual ~FlowChooser() = default;

  // Replaces the agents, which are distinct and sorted.
  virtual void SetAgents(std::span<const base::NodeId> agents) = 0;

  // Returns the agent; nothing if there are no agents.
  virtual std::optional<base::NodeId> Choose(std::uint64_t flow_key_hash) = 0;
};

enum class ChooserKind : std::uint8_t {
  kModulo = 0,      // hash mod number of agents
  kMaglev = 1,      // Maglev's look-up table and a flow cache on each balancer
  kRendezvous = 2,  // highest random weight
  kRandom = 3,      // a random agent for each datagram
};

// Returns the name used in reports, as in "maglev".
std::string_view ToString(ChooserKind kind);

// Makes a chooser. `seed` is for kRandom. `cache_capacity` is the maximum number of flows in the
// cache of kMaglev, which evicts the least recently used.
std::unique_ptr<FlowChooser> MakeFlowChooser(ChooserKind kind, std::uint64_t seed,
                                             std::size_t cache_capacity);

}  // namespace gaugevalve::routing
