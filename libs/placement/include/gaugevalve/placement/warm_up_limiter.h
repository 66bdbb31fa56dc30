/// @file
/// How many new flows an endpoint may get while it is cold.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// What a service's configuration says of its endpoints' warm-up.
struct WarmUpRate {
  double openings_per_second = 0;  ///< that a cold endpoint bears; 0 for no bound
  base::Duration duration{0};      ///< of the warm-up, from a start or the end of an evacuation

  friend bool operator==(const WarmUpRate&, const WarmUpRate&) = default;
};

/// What operators tolerate above that rate.
struct WarmUpTolerance {
  double overshoot = 1;  ///< factor of the rate
  double slack = 0;      ///< openings within a second, on top
};

/// Decision core: counts the openings that one endpoint was given, exactly, over each span of a
/// second wherever it lies. The agent beside an endpoint is the only way to it, so the bound holds
/// whatever balancers believe. A restarted agent doesn't know what it passed on before: its first
/// second counts as used up. Not thread-safe.
class WarmUpLimiter {
 public:
  /// @param tolerance  nothing where the operators set no bound
  explicit WarmUpLimiter(std::optional<WarmUpTolerance> tolerance) : m_tolerance(tolerance) {}

  /// Sets what the configuration says. Until then only the tolerance's slack is used.
  void SetRate(const WarmUpRate& rate) { m_rate = rate; }
  const std::optional<WarmUpRate>& Rate() const { return m_rate; }

  /// Notes that the process runs: a second from the first call on, no opening of a former life of
  /// it can count any more.
  void Begin(base::TimePoint now) { m_begun_at = m_begun_at.value_or(now); }

  /// Returns whether a cold endpoint may be given one more opening now.
  bool HasRoom(base::TimePoint now);

  /// Counts an opening that is passed to the endpoint, cold or not.
  void Note(base::TimePoint now);

 private:
  std::optional<std::size_t> Limit() const;
  void ForgetOld(base::TimePoint now);

  std::optional<WarmUpTolerance> m_tolerance;
  std::optional<WarmUpRate> m_rate;
  std::optional<base::TimePoint> m_begun_at;
  std::deque<base::TimePoint> m_openings;  // of the last second; bounded by kMostOpenings
};

}  // namespace gaugevalve::placement
