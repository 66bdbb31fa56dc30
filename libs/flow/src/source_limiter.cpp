#include "gaugevalve/flow/source_limiter.h"

#include <algorithm>

#include "gaugevalve/base/hash.h"

namespace gaugevalve::flow {
namespace {

constexpr unsigned kHalfHashBits = 32;

}  // namespace

SourceLimiter::SourceLimiter(const SourceLimiterSettings& settings) : settings_(settings) {
  SetRate(settings.rate);
}

void SourceLimiter::SetRate(std::uint32_t rate) {
  settings_.rate = rate;
  if (rate == 0) {
    return;
  }
  interval_ = base::Duration(std::chrono::seconds(1)) / rate;
  tolerance_ = interval_ * settings_.burst;
  if (!rows_[0].empty()) {
    return;
  }
  for (std::vector<base::TimePoint>& row : rows_) {
    row.assign(std::max<std::size_t>(settings_.cells, 1), base::TimePoint::min());
  }
}

bool SourceLimiter::Allow(const base::SocketAddress& source, base::TimePoint now) {
  if (settings_.rate == 0) {
    return true;
  }
  const std::uint64_t hash = base::HashBytes(source.address, settings_.seed);
  base::TimePoint& first = rows_[0][(hash >> kHalfHashBits) % rows_[0].size()];
  base::TimePoint& second = rows_[1][static_cast<std::uint32_t>(hash) % rows_[1].size()];
  const base::TimePoint theoretical_arrival = std::max(std::min(first, second), now);
  if (theoretical_arrival - now > tolerance_) {
    return false;
  }
  first = std::max(first, theoretical_arrival + interval_);
  second = std::max(second, theoretical_arrival + interval_);
  return true;
}

}  // namespace gaugevalve::flow
