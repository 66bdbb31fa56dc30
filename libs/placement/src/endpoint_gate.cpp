#include "gaugevalve/placement/endpoint_gate.h"

#include <algorithm>

namespace gaugevalve::placement {
namespace {

// An endpoint that leaves this many opening packets in a row without any sign of life for this long
// gets no more until it speaks again.
constexpr unsigned kUnansweredLimit = 4;
constexpr base::Duration kUnansweredTime = std::chrono::milliseconds(150);
// Announcements may be seconds late; an endpoint is given up after this many missed ones.
constexpr int kMissedLimit = 6;
// Between two health checks of an endpoint that isn't known.
constexpr base::Duration kProbePeriod = std::chrono::milliseconds(1000);

}  // namespace

const char* EndpointStandingName(EndpointStanding standing) {
  switch (standing) {
    case EndpointStanding::kAdmitting:
      return "admitting";
    case EndpointStanding::kLeaving:
      return "leaving";
    case EndpointStanding::kSilent:
      return "silent";
    case EndpointStanding::kStopping:
      return "stopping";
    case EndpointStanding::kAbsent:
      return "absent";
    default:
      return "unknown";
  }
}

AnnouncementOutcome EndpointGate::Announce(const Announcement& announcement, base::TimePoint now) {
  const bool is_same = m_is_known && announcement.id == m_current.id;
  const bool is_older = is_same && announcement.sequence < m_current.sequence;
  const bool has_left = announcement.id == m_left_id && !announcement.is_draining;
  if (is_older || has_left) {
    return AnnouncementOutcome::kLate;
  }
  if (announcement.is_draining) {
    m_left_id = announcement.id;
  }
  // Another incarnation that drains says nothing about the one that is in place.
  const bool is_stranger = m_is_first_hand && !is_same && !m_is_leaving;
  if (is_stranger && announcement.is_draining) {
    return AnnouncementOutcome::kTaken;
  }
  const bool is_next = m_is_first_hand && announcement.sequence > m_current.sequence;
  m_is_repeated = is_same && (m_is_repeated || is_next);
  m_current = announcement;
  m_is_known = true;
  m_is_first_hand = true;
  m_is_leaving = announcement.is_draining;
  m_heard_at = now;
  m_unanswered = 0;
  m_is_absent = false;
  return AnnouncementOutcome::kTaken;
}

void EndpointGate::Deregister(const std::string& id, base::TimePoint now) {
  const bool is_stranger = m_is_first_hand && id != m_current.id;
  m_left_id = id;
  if (is_stranger) {
    return;
  }
  m_current.id = id;
  m_is_known = true;
  m_is_first_hand = true;
  m_is_leaving = true;
  m_heard_at = now;
}

void EndpointGate::Remember(const Announcement& announcement, EndpointStanding standing,
                            base::TimePoint now) {
  const bool is_usable =
      standing == EndpointStanding::kAdmitting || standing == EndpointStanding::kLeaving;
  const bool is_newer = !m_is_known || announcement.sequence > m_current.sequence ||
                        (!m_is_leaving && standing == EndpointStanding::kLeaving);
  if (m_is_first_hand || !is_usable || !is_newer) {
    return;
  }
  m_current = announcement;
  m_is_leaving = standing == EndpointStanding::kLeaving;
  if (m_is_leaving) {
    m_left_id = announcement.id;
  }
  m_is_known = true;
  m_heard_at = now;
}

bool EndpointGate::TakeProbe(base::TimePoint now) {
  const EndpointStanding standing = Standing(now);
  const bool is_in_doubt = standing == EndpointStanding::kUnknown ||
                           standing == EndpointStanding::kSilent ||
                           standing == EndpointStanding::kAbsent;
  const bool is_due = !m_probed_at || now - *m_probed_at >= kProbePeriod;
  if (!is_in_doubt || !is_due) {
    return false;
  }
  m_probed_at = now;
  return true;
}

void EndpointGate::NoteProbe(ProbeResult result, base::TimePoint now) {
  m_is_absent = result == ProbeResult::kRefused;
  if (result == ProbeResult::kHealthy) {
    m_healthy_at = now;
    m_unanswered = 0;
  }
}

void EndpointGate::NoteLife() {
  m_unanswered = 0;
  m_is_absent = false;
}

void EndpointGate::NoteOpening(base::TimePoint now) {
  if (m_unanswered == 0) {
    m_unanswered_since = now;
  }
  ++m_unanswered;
}

EndpointStanding EndpointGate::Standing(base::TimePoint now) const {
  if (m_is_absent) {
    return EndpointStanding::kAbsent;
  }
  if (m_is_known && m_is_leaving) {
    return EndpointStanding::kLeaving;
  }
  const bool is_unresponsive =
      m_unanswered >= kUnansweredLimit && now - m_unanswered_since > kUnansweredTime;
  if (is_unresponsive) {
    return EndpointStanding::kSilent;
  }
  const bool was_healthy = m_healthy_at && now - *m_healthy_at <= m_memory_limit;
  const bool was_heard = m_is_known && now - m_heard_at <= m_memory_limit;
  if (was_healthy || was_heard) {
    return EndpointStanding::kAdmitting;
  }
  if (!m_is_repeated) {
    return EndpointStanding::kUnknown;
  }
  const bool is_missed = now - m_heard_at > m_period * kMissedLimit;
  return is_missed ? EndpointStanding::kSilent : EndpointStanding::kAdmitting;
}

base::Duration EndpointGate::WarmUpLeft(base::TimePoint now) const {
  return std::max(base::Duration(0), m_current.warm_up_left - (now - m_heard_at));
}

}  // namespace gaugevalve::placement
