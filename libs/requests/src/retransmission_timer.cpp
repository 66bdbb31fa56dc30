#include "gaugevalve/requests/retransmission_timer.h"

#include <algorithm>

namespace gaugevalve::requests {
namespace {

// Factors of RFC 6298.
constexpr int kAverageDivisor = 8;
constexpr int kDeviationDivisor = 4;
constexpr int kDeviations = 4;

}  // namespace

void RetransmissionTimer::AddSample(base::Duration round_trip) {
  if (m_average.count() == 0) {
    m_average = round_trip;
    m_deviation = round_trip / 2;
  } else {
    const base::Duration error = round_trip - m_average;
    m_deviation += (std::chrono::abs(error) - m_deviation) / kDeviationDivisor;
    m_average += error / kAverageDivisor;
  }
  m_losses = 0;
  m_interval = std::clamp(m_average + kDeviations * m_deviation, m_min_interval, m_max_interval);
}

void RetransmissionTimer::NoteLoss(base::TimePoint now) {
  if (m_losses == 0 || now - m_lost_at >= Interval()) {
    ++m_losses;
    m_lost_at = now;
  }
}

base::Duration RetransmissionTimer::Interval(unsigned repetition) const {
  base::Duration interval = m_interval;
  for (unsigned left = m_losses + repetition; left > 0 && interval < m_max_interval; --left) {
    interval *= 2;
  }
  return std::min(interval, m_max_interval);
}

}  // namespace gaugevalve::requests
