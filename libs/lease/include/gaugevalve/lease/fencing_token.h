// The number that orders the holders of a lease.
#pragma once

#include <cstdint>

#include "gaugevalve/base/strong_id.h"

namespace gaugevalve::lease {

// The store revision at which a holder acquired its lease. A later holder of the same lease always
// has a larger token. 0 means none.
using FencingToken = base::StrongId<struct FencingTokenTag, std::uint64_t>;

}  // namespace gaugevalve::lease
