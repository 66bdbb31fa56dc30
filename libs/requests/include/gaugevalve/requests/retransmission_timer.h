/// @file
/// Interval after which frames without an acknowledgement are sent again.
#pragma once

#include "gaugevalve/base/time.h"

namespace gaugevalve::requests {

/// Follows the measured round-trip time to one peer (RFC 6298). All hand-overs with the peer share
/// it: a loss of one shows that the others may have to wait longer too. Not thread-safe.
class RetransmissionTimer {
 public:
  /// @param min_interval  also the interval before the first measurement
  /// @param max_interval  bound of the interval and of its backoff
  RetransmissionTimer(base::Duration min_interval, base::Duration max_interval)
      : m_min_interval(min_interval), m_max_interval(max_interval), m_interval(min_interval) {}

  /// Adds the time between a message that was sent once and its acknowledgement. Ends the backoff;
  /// the acknowledgement of a repeated message must not, because it doesn't tell which of the
  /// copies it answers (Karn's algorithm).
  void AddSample(base::Duration round_trip);

  /// A message was not acknowledged within the interval: doubles the interval, at most once in the
  /// time of one interval.
  void NoteLoss(base::TimePoint now);

  /// Returns the interval before the `repetition`-th retransmission of a message, counted from 0.
  /// It doubles with each.
  base::Duration Interval(unsigned repetition = 0) const;

 private:
  base::Duration m_min_interval;
  base::Duration m_max_interval;
  base::Duration m_interval;
  base::Duration m_average{0};    // smoothed round-trip time; 0 before the first sample
  base::Duration m_deviation{0};  // mean deviation from it
  unsigned m_losses = 0;          // losses that doubled the interval since the last sample
  base::TimePoint m_lost_at{};    // time of the last one
};

}  // namespace gaugevalve::requests
