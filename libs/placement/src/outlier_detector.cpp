#include "gaugevalve/placement/outlier_detector.h"

#include <algorithm>
#include <bit>

namespace gaugevalve::placement {
namespace {

// Number of consecutive failures that eject an endpoint. A service that works resets no flow, so
// few failures are strong evidence.
constexpr unsigned kConsecutiveFailures = 3;
// Number of outcomes in the window, and of failures among them that eject an endpoint that fails
// only some requests. An endpoint that fails 40 % is ejected after some 15 requests, one that fails
// 5 % once in 10,000 requests.
constexpr unsigned kWindow = 8;
constexpr int kFailuresInWindow = 4;
constexpr std::uint32_t kWindowMask = (1U << kWindow) - 1;
constexpr std::uint32_t kConsecutiveMask = (1U << kConsecutiveFailures) - 1;
// Consecutive successful trials required for readmission.
constexpr unsigned kRequiredTrials = 3;
// A trial without an outcome for this long is abandoned, and another one is allowed.
constexpr base::Duration kTrialTimeout = std::chrono::seconds(2);
// Pause before the first trial, and its maximum. It doubles after each failed trial and each
// relapse. Faults of endpoints last seconds.
constexpr base::Duration kInitialTrialPause = std::chrono::milliseconds(500);
constexpr base::Duration kMaxTrialPause = std::chrono::seconds(8);
// An endpoint that has served for this long since its readmission has recovered.
constexpr base::Duration kRecoveryTime = std::chrono::seconds(30);

}  // namespace

void OutlierDetector::Note(bool is_failure) {
  m_failures = ((m_failures << 1U) | (is_failure ? 1U : 0U)) & kWindowMask;
  m_outcomes = std::min(m_outcomes + 1, kWindow);
}

bool OutlierDetector::IsOutlier() const {
  const bool in_row =
      m_outcomes >= kConsecutiveFailures && (m_failures & kConsecutiveMask) == kConsecutiveMask;
  return in_row || std::popcount(m_failures) >= kFailuresInWindow;
}

void OutlierDetector::NoteSuccess(base::TimePoint now) {
  ++m_successes;
  if (!m_ejected_at) {
    Note(false);
    return;
  }
  if (!m_trial_at) {
    return;  // the flow began before the ejection
  }
  m_trial_at.reset();
  ++m_trials_passed;
  if (m_trials_passed >= kRequiredTrials) {
    Admit(now);
  }
}

void OutlierDetector::NoteFailure(base::TimePoint now) {
  ++m_total_failures;
  if (!m_ejected_at) {
    Note(true);
    if (IsOutlier()) {
      Eject(now);
    }
    return;
  }
  if (m_trial_at) {
    m_trial_at.reset();
    m_trials_passed = 0;
    m_pause = std::min(2 * m_pause, kMaxTrialPause);
    m_next_trial_at = now + m_pause;
  }
}

void OutlierDetector::Eject(base::TimePoint now) {
  const bool is_relapse = m_ejections > 0 && now - m_admitted_at < kRecoveryTime;
  m_pause = is_relapse ? std::min(2 * m_pause, kMaxTrialPause) : kInitialTrialPause;
  ++m_ejections;
  m_ejected_at = now;
  m_next_trial_at = now + m_pause;
  m_trials_passed = 0;
  m_trial_at.reset();
}

void OutlierDetector::Admit(base::TimePoint now) {
  m_ejected_at.reset();
  m_admitted_at = now;
  m_failures = 0;
  m_outcomes = 0;
}

bool OutlierDetector::TakeAdmission(base::TimePoint now) {
  if (!m_ejected_at) {
    return true;
  }
  const bool is_trial_open = m_trial_at && now - *m_trial_at < kTrialTimeout;
  if (is_trial_open || now < m_next_trial_at) {
    return false;
  }
  m_trial_at = now;
  return true;
}

}  // namespace gaugevalve::placement
