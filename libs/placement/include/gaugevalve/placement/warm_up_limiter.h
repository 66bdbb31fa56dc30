/// @file
/// Limit of new flows for a cold endpoint.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// Warm-up settings of a service's endpoints, from the configuration.
struct WarmUpRate {
  double openings_per_second = 0;  ///< rate that a cold endpoint can serve; 0 for no bound
  base::Duration duration{0};      ///< of the warm-up, from a start or the end of an evacuation

  friend bool operator==(const WarmUpRate&, const WarmUpRate&) = default;
};

/// How far openings may exceed the configured rate.
struct WarmUpTolerance {
  double overshoot = 1;  ///< factor of the rate
  double slack = 0;      ///< additional openings within a second
};

/// Decision core: counts the openings sent to one endpoint in a sliding window of one second. All
/// flows reach the endpoint through its agent, so the bound holds whatever state balancers have. A
/// restarted agent doesn't know what its previous incarnation sent, so its first second counts as
/// used up. Not thread-safe.
class WarmUpLimiter {
 public:
  /// @param tolerance  empty if the operators set no bound
  explicit WarmUpLimiter(std::optional<WarmUpTolerance> tolerance) : m_tolerance(tolerance) {}

  /// Sets the configured rate. Until the first call the limit is the tolerance's slack alone.
  void SetRate(const WarmUpRate& rate) { m_rate = rate; }
  const std::optional<WarmUpRate>& Rate() const { return m_rate; }

  /// Records that the process is running. One second after the first call, openings sent by a
  /// previous incarnation of the agent no longer count.
  void Begin(base::TimePoint now) { m_begun_at = m_begun_at.value_or(now); }

  /// Returns whether a cold endpoint may be given one more opening now.
  bool HasRoom(base::TimePoint now);

  /// Counts an opening that is sent to the endpoint, cold or not.
  void Note(base::TimePoint now);

 private:
  std::optional<std::size_t> Limit() const;
  void DropExpired(base::TimePoint now);

  std::optional<WarmUpTolerance> m_tolerance;
  std::optional<WarmUpRate> m_rate;
  std::optional<base::TimePoint> m_begun_at;
  std::deque<base::TimePoint> m_openings;  // in the last second; at most kMaxOpenings
};

}  // namespace gaugevalve::placement
