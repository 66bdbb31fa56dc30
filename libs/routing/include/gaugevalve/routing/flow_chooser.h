// Ways of choosing an agent at a balancer without bucket tables: the baselines we measure against.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "gaugevalve/base/identifiers.h"

namespace gaugevalve::routing {

// Chooses the agent of a datagram from its flow key's hash and the agents this balancer knows. Each
// balancer has its own. Not used by the product: the emulator compares it with these in one run.
class FlowChooser {
 public:
  virtual ~FlowChooser() = default;

  // Replaces the agents, which are distinct and sorted.
  virtual void SetAgents(std::span<const base::NodeId> agents) = 0;

  // Returns the agent; nothing when there is none.
  virtual std::optional<base::NodeId> Choose(std::uint64_t flow_key_hash) = 0;
};

// The baselines by name.
enum class ChooserKind : std::uint8_t {
  kModulo = 0,      // hash mod number of agents
  kMaglev = 1,      // Maglev's look-up table and a flow cache on each balancer
  kRendezvous = 2,  // highest random weight
  kRandom = 3,      // any, for each datagram anew
};

// Returns the name used in reports, as in "maglev".
std::string_view ToString(ChooserKind kind);

// Makes a chooser. `seed` is for kRandom; `cache_capacity` is the most flows that kMaglev's cache
// holds, the least recently used making room.
std::unique_ptr<FlowChooser> MakeFlowChooser(ChooserKind kind, std::uint64_t seed,
                                             std::size_t cache_capacity);

}  // namespace gaugevalve::routing
