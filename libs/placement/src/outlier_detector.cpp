#include "gaugevalve/placement/outlier_detector.h"

#include <algorithm>
#include <bit>

namespace gaugevalve::placement {
namespace {

// Failures in a row that eject: strong evidence, as a service that serves resets none.
constexpr unsigned kFailuresInRow = 3;
// The last outcomes, and how many failures among them eject an endpoint that fails only a part: at
// a part of 40 % after some 15 requests, at one of 5 % once in 10,000.
constexpr unsigned kWindow = 8;
constexpr int kFailuresInWindow = 4;
constexpr std::uint32_t kWindowMask = (1U << kWindow) - 1;
constexpr std::uint32_t kRowMask = (1U << kFailuresInRow) - 1;
// Trials that have to pass in a row.
constexpr unsigned kTrialsToPass = 3;
// A trial without an outcome for so long is given up, and another one allowed.
constexpr base::Duration kTrialLimit = std::chrono::seconds(2);
// Before the first trial; doubled after each failed one and each relapse up to the longest. Faults
// of endpoints last seconds.
constexpr base::Duration kFirstPause = std::chrono::milliseconds(500);
constexpr base::Duration kLongestPause = std::chrono::seconds(8);
// An endpoint that has served this long since it came back has recovered.
constexpr base::Duration kRecovered = std::chrono::seconds(30);

}  // namespace

void OutlierDetector::Note(bool is_failure) {
  m_failures = ((m_failures << 1U) | (is_failure ? 1U : 0U)) & kWindowMask;
  m_outcomes = std::min(m_outcomes + 1, kWindow);
}

bool OutlierDetector::LooksBad() const {
  const bool in_row = m_outcomes >= kFailuresInRow && (m_failures & kRowMask) == kRowMask;
  return in_row || std::popcount(m_failures) >= kFailuresInWindow;
}

void OutlierDetector::NoteSuccess(base::TimePoint now) {
  ++m_successes;
  if (!m_ejected_at) {
    Note(false);
    return;
  }
  if (!m_trial_at) {
    return;  // of a flow from before
  }
  m_trial_at.reset();
  ++m_trials_passed;
  if (m_trials_passed >= kTrialsToPass) {
    Admit(now);
  }
}

void OutlierDetector::NoteFailure(base::TimePoint now) {
  ++m_all_failures;
  if (!m_ejected_at) {
    Note(true);
    if (LooksBad()) {
      Eject(now);
    }
    return;
  }
  if (m_trial_at) {
    m_trial_at.reset();
    m_trials_passed = 0;
    m_pause = std::min(2 * m_pause, kLongestPause);
    m_next_trial_at = now + m_pause;
  }
}

void OutlierDetector::Eject(base::TimePoint now) {
  const bool is_relapse = m_ejections > 0 && now - m_admitted_at < kRecovered;
  m_pause = is_relapse ? std::min(2 * m_pause, kLongestPause) : kFirstPause;
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
  const bool is_trial_open = m_trial_at && now - *m_trial_at < kTrialLimit;
  if (is_trial_open || now < m_next_trial_at) {
    return false;
  }
  m_trial_at = now;
  return true;
}

}  // namespace gaugevalve::placement
