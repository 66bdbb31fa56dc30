/// @file
/// Detection of a failing endpoint from the outcomes of its flows.
#pragma once

#include <cstdint>
#include <optional>

#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// Decision core: passive outlier detection for one endpoint. An endpoint that resets its flows at
/// once is always idle, so least-load placement would send it more than its share, and its health
/// check may still pass. The agent sees each flow: an answer to a request is a success, a reset by
/// the endpoint in place of an answer is a failure. After several consecutive failures, or many
/// failures among the last outcomes, the endpoint is ejected. It is readmitted after successful
/// trial flows, which are sent one at a time. The pause before a trial doubles with every relapse.
/// Error responses count as answers because the agent doesn't read the contents of flows. Not
/// thread-safe.
class OutlierDetector {
 public:
  void NoteSuccess(base::TimePoint now);
  void NoteFailure(base::TimePoint now);

  /// Returns whether the endpoint should get no new flows.
  bool IsEjected() const { return m_ejected_at.has_value(); }

  /// Returns whether the endpoint may be given one more flow. While it is ejected, the flow counts
  /// as a trial.
  bool TakeAdmission(base::TimePoint now);

  /// Return the total number of successes and of failures.
  std::uint64_t SuccessCount() const { return m_successes; }
  std::uint64_t FailureCount() const { return m_total_failures; }

  /// Returns how often the endpoint has been ejected.
  std::uint64_t EjectionCount() const { return m_ejections; }

 private:
  void Note(bool is_failure);
  bool IsOutlier() const;
  void Eject(base::TimePoint now);
  void Admit(base::TimePoint now);

  // A bit for each of the last outcomes, the newest in the lowest bit.
  std::uint32_t m_failures = 0;
  unsigned m_outcomes = 0;  // number of outcomes in m_failures
  std::optional<base::TimePoint> m_ejected_at;
  std::optional<base::TimePoint> m_trial_at;  // start of the trial in progress
  base::TimePoint m_next_trial_at{};
  unsigned m_trials_passed = 0;  // consecutive successful trials
  base::Duration m_pause{0};     // pause before the next trial
  base::TimePoint m_admitted_at{};
  std::uint64_t m_ejections = 0;
  std::uint64_t m_successes = 0;
  std::uint64_t m_total_failures = 0;
};

}  // namespace gaugevalve::placement
