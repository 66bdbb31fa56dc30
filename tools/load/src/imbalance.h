// How unevenly work is spread.
#pragma once

#include <cstdint>
#include <span>

namespace gaugevalve::load {

// Returns the largest share over the mean share of `endpoints` endpoints: 1 is even. Endpoints
// without a share count too; `endpoints` is taken as the number of shares when it is less. 0 when
// there is nothing to share.
double Imbalance(std::span<const std::uint64_t> shares, std::uint64_t endpoints);

}  // namespace gaugevalve::load
