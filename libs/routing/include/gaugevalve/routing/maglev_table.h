// Maglev hashing's look-up table (Eisenbud and others, NSDI 2016, section 3.4).
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "gaugevalve/base/identifiers.h"

namespace gaugevalve::routing {

// Size of the table: a prime well above 100 times the number of agents of a service.
inline constexpr std::size_t kMaglevTableSize = 65'537;

// Returns the table for `agents`, which must not be empty. The agents take turns; each takes the
// next free entry of its own permutation of the table until the table is full.
std::vector<base::NodeId> MakeMaglevTable(std::span<const base::NodeId> agents,
                                          std::size_t table_size = kMaglevTableSize);

}  // namespace gaugevalve::routing
