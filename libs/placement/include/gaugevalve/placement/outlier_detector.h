/// @file
/// Whether an endpoint fails what it is given, judged by what became of its flows.
#pragma once

#include <cstdint>
#include <optional>

#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// Decision core: passive outlier detection for one endpoint. An endpoint that resets flows at once
/// is always idle, so choosing the least loaded would send it more than its share, and its health
/// check may be good all the while. The agent beside it sees each flow: an answer to a request is a
/// success, a reset by the endpoint in place of one is a failure. After several failures in a row,
/// or many among the last outcomes, the endpoint is ejected. It comes back by trial flows, one at a
/// time, each after a pause that doubles with every relapse. Errors that are answers can't be told
/// from other answers here, as nobody reads what flows carry. Not thread-safe.
class OutlierDetector {
 public:
  void NoteSuccess(base::TimePoint now);
  void NoteFailure(base::TimePoint now);

  /// Returns whether new flows should go elsewhere.
  bool IsEjected() const { return m_ejected_at.has_value(); }

  /// Returns whether the endpoint may be given one more flow, and counts it: while it is ejected,
  /// as a trial.
  bool TakeAdmission(base::TimePoint now);

  /// Returns how many outcomes of each kind there were.
  std::uint64_t SuccessCount() const { return m_successes; }
  std::uint64_t FailureCount() const { return m_all_failures; }

  /// Returns how often the endpoint has been ejected.
  std::uint64_t EjectionCount() const { return m_ejections; }

 private:
  void Note(bool is_failure);
  bool LooksBad() const;
  void Eject(base::TimePoint now);
  void Admit(base::TimePoint now);

  std::uint32_t m_failures = 0;  // the last outcomes, a bit each, the newest lowest
  unsigned m_outcomes = 0;       // of them
  std::optional<base::TimePoint> m_ejected_at;
  std::optional<base::TimePoint> m_trial_at;  // of the trial under way
  base::TimePoint m_next_trial_at{};
  unsigned m_trials_passed = 0;  // in a row
  base::Duration m_pause{0};     // before the next trial
  base::TimePoint m_admitted_at{};
  std::uint64_t m_ejections = 0;
  std::uint64_t m_successes = 0;
  std::uint64_t m_all_failures = 0;
};

}  // namespace gaugevalve::placement
