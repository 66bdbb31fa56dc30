#include "imbalance.h"

#include <algorithm>
#include <numeric>

namespace gaugevalve::load {

double Imbalance(std::span<const std::uint64_t> shares, std::uint64_t endpoints) {
  const std::uint64_t total = std::accumulate(shares.begin(), shares.end(), std::uint64_t{0});
  if (total == 0) {
    return 0;
  }
  const std::uint64_t largest = *std::max_element(shares.begin(), shares.end());
  const std::uint64_t count = std::max<std::uint64_t>(endpoints, shares.size());
  return static_cast<double>(largest) * static_cast<double>(count) / static_cast<double>(total);
}

}  // namespace gaugevalve::load
