#include "gaugevalve/placement/warm_up_limiter.h"

#include <cmath>

namespace gaugevalve::placement {
namespace {

// Length of the counting window, and the variation of the delay to the endpoint from packet to
// packet, over loopback on a busy machine.
constexpr base::Duration kCountingPeriod = std::chrono::milliseconds(1000);
constexpr base::Duration kJitter = std::chrono::milliseconds(50);
// Limit of the openings remembered. No cold endpoint is given as many in a second.
constexpr std::size_t kMaxOpenings = 4096;

}  // namespace

std::optional<std::size_t> WarmUpLimiter::Limit() const {
  const bool is_unbounded = m_rate && m_rate->openings_per_second <= 0;
  if (!m_tolerance || is_unbounded) {
    return std::nullopt;
  }
  const double rate = m_rate ? m_rate->openings_per_second : 0;
  return static_cast<std::size_t>(std::floor(rate * m_tolerance->overshoot + m_tolerance->slack));
}

void WarmUpLimiter::DropExpired(base::TimePoint now) {
  while (!m_openings.empty() && now - m_openings.front() > kCountingPeriod + kJitter) {
    m_openings.pop_front();
  }
}

bool WarmUpLimiter::HasRoom(base::TimePoint now) {
  const std::optional<std::size_t> limit = Limit();
  if (!limit) {
    return true;
  }
  DropExpired(now);
  Begin(now);
  const bool is_first_second = now - *m_begun_at <= kCountingPeriod + kJitter;
  return !is_first_second && m_openings.size() < *limit;
}

void WarmUpLimiter::Note(base::TimePoint now) {
  Begin(now);
  DropExpired(now);
  if (m_openings.size() < kMaxOpenings) {
    m_openings.push_back(now);
  }
}

}  // namespace gaugevalve::placement
