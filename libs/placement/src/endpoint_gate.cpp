#include "gaugevalve/placement/endpoint_gate.h"

#include <algorithm>

namespace gaugevalve::placement {
namespace {

// An endpoint that leaves an opening packet without any sign of life for this long gets no more
// until it speaks again. It is beside the agent and answers an opening within a millisecond, or
// gives it back; clients send a copy after 200 ms, which then goes elsewhere. One packet is enough:
// in a large fleet an agent sees one in two seconds, and each that is needed more costs a client
// its time.
constexpr base::Duration kUnansweredTime = std::chrono::milliseconds(150);
// Announcements may be seconds late; an endpoint is given up after this many missed ones.
constexpr int kMissedLimit = 6;
// Incarnations that are over and are remembered. Each lives for some seconds at least.
constexpr std::size_t kEndedLimit = 16;
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

const char* AnnouncementOutcomeName(AnnouncementOutcome outcome) {
  switch (outcome) {
    case AnnouncementOutcome::kLate:
      return "late";
    case AnnouncementOutcome::kUnconfirmed:
      return "doubted";
    case AnnouncementOutcome::kIncomplete:
      return "incomplete";
    default:
      return "taken";
  }
}

// An older release remembers no start: it means the life that spoke last under the identifier.
bool EndpointGate::IsOver(const EndpointIncarnation& incarnation) const {
  return std::any_of(m_ended.begin(), m_ended.end(), [&](const EndpointIncarnation& ended) {
    return ended.id == incarnation.id &&
           (ended.started_ms == 0 || ended.started_ms == incarnation.started_ms);
  });
}

// Whether a life that started later is known.
bool EndpointGate::IsEarlierLife(const EndpointIncarnation& incarnation) const {
  const auto is_later = [&](const EndpointIncarnation& known) {
    return known.StartedAfter(incarnation);
  };
  return is_later(m_current.incarnation) || std::any_of(m_ended.begin(), m_ended.end(), is_later);
}

// Whether the incarnation is the one in place. Where either doesn't say when it started, as in what
// was remembered by an older release, the identifier decides.
bool EndpointGate::IsPresent(const EndpointIncarnation& incarnation) const {
  const EndpointIncarnation& present = m_current.incarnation;
  const bool has_same_start = incarnation.started_ms == present.started_ms ||
                              incarnation.started_ms == 0 || present.started_ms == 0;
  return m_is_known && incarnation.id == present.id && has_same_start;
}

void EndpointGate::NoteEnded(const EndpointIncarnation& incarnation) {
  if (incarnation.IsEmpty() || IsOver(incarnation)) {
    return;
  }
  m_ended.push_back(incarnation);
  if (m_ended.size() > kEndedLimit) {
    m_ended.pop_front();
  }
}

// Longer than the present incarnation, if it lives, leaves between two announcements.
base::Duration EndpointGate::ConfirmationTime() const { return m_period * 5 / 4; }

// Whether another incarnation takes the place of the present one. Notes it as heard otherwise.
bool EndpointGate::GivesWayTo(const Announcement& announcement, base::TimePoint now) {
  const EndpointIncarnation& other = announcement.incarnation;
  if (other.StartedAfter(m_current.incarnation)) {
    NoteEnded(m_current.incarnation);
    return true;
  }
  const bool is_heard_again = m_successor == other && announcement.sequence > m_successor_sequence;
  if (announcement.is_draining) {
    // Where it is believed wrongly, the next word of the present one opens the gate again.
    return m_is_leaving || is_heard_again;
  }
  const bool may_have_gone = m_is_leaving || !m_is_repeated || m_is_absent || IsUnresponsive(now);
  if (may_have_gone && !IsEarlierLife(other)) {
    return true;
  }
  if (is_heard_again && now - m_successor_at > ConfirmationTime()) {
    NoteEnded(m_current.incarnation);
    return true;
  }
  if (m_successor != other) {
    m_successor = other;
    m_successor_at = now;
    m_successor_sequence = 0;
  }
  m_successor_sequence = std::max(m_successor_sequence, announcement.sequence);
  return false;
}

AnnouncementOutcome EndpointGate::Announce(const Announcement& announcement, base::TimePoint now) {
  const bool is_same = IsPresent(announcement.incarnation);
  const bool tells_start = announcement.incarnation.started_ms != 0;
  const bool should_tell = m_current.incarnation.started_ms != 0;
  if (is_same && should_tell && !tells_start) {
    return AnnouncementOutcome::kIncomplete;
  }
  const bool is_older =
      is_same && tells_start == should_tell && announcement.sequence < m_current.sequence;
  const bool goes_on_leaving = is_same && announcement.is_draining;
  if (is_older || (IsOver(announcement.incarnation) && !goes_on_leaving)) {
    return AnnouncementOutcome::kLate;
  }
  const bool is_stranger = m_is_first_hand && !is_same;
  if (is_stranger && !GivesWayTo(announcement, now)) {
    if (announcement.is_draining) {
      NoteEnded(announcement.incarnation);  // it says nothing about the one that is in place
    }
    return AnnouncementOutcome::kUnconfirmed;
  }
  Take(announcement, now);
  return AnnouncementOutcome::kTaken;
}

void EndpointGate::Take(const Announcement& announcement, base::TimePoint now) {
  const bool is_same = IsPresent(announcement.incarnation);
  if (!is_same) {
    m_predecessor = m_is_known ? m_current.incarnation : EndpointIncarnation();
    m_first_heard_at = now;
  } else if (now - m_first_heard_at > ConfirmationTime()) {
    NoteEnded(m_predecessor);
    m_predecessor = {};
  }
  if (announcement.is_draining) {
    NoteEnded(announcement.incarnation);
  }
  const bool is_next = m_is_first_hand && announcement.sequence > m_current.sequence;
  m_is_repeated = is_same && (m_is_repeated || is_next);
  m_current = announcement;
  m_is_known = true;
  m_is_first_hand = true;
  m_is_leaving = announcement.is_draining;
  m_heard_at = now;
  m_unanswered_since.reset();
  m_is_absent = false;
  m_is_refused = false;
  m_was_away = false;
  m_successor = {};
  m_successor_sequence = 0;
}

void EndpointGate::Deregister(const EndpointIncarnation& incarnation, base::TimePoint now) {
  const bool is_present = IsPresent(incarnation);
  // Without a start it is whichever is in place under its identifier.
  const EndpointIncarnation& ended = is_present ? m_current.incarnation : incarnation;
  const bool may_be_present = !m_is_first_hand || is_present || ended == m_successor ||
                              ended.StartedAfter(m_current.incarnation);
  const bool was_over = IsOver(ended) && !is_present;
  NoteEnded(ended);
  if (!may_be_present || was_over || (!is_present && IsEarlierLife(ended))) {
    return;
  }
  m_current.incarnation = EndpointIncarnation(ended);
  m_is_known = true;
  m_is_first_hand = true;
  m_is_leaving = true;
  m_heard_at = now;
  m_successor = {};
}

void EndpointGate::Remember(const Announcement& announcement, EndpointStanding standing,
                            base::TimePoint now) {
  const bool is_usable =
      standing == EndpointStanding::kAdmitting || standing == EndpointStanding::kLeaving;
  const bool is_later_life = announcement.incarnation.StartedAfter(m_current.incarnation);
  const bool is_earlier_life = m_current.incarnation.StartedAfter(announcement.incarnation);
  const bool is_newer = !m_is_known || is_later_life ||
                        announcement.sequence > m_current.sequence ||
                        (!m_is_leaving && standing == EndpointStanding::kLeaving);
  if (m_is_first_hand || !is_usable || !is_newer || is_earlier_life) {
    return;
  }
  m_current = announcement;
  m_is_leaving = standing == EndpointStanding::kLeaving;
  if (m_is_leaving) {
    NoteEnded(announcement.incarnation);
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
  m_is_refused = m_is_absent || (m_is_refused && result == ProbeResult::kNoAnswer);
  if (result == ProbeResult::kHealthy) {
    m_healthy_at = now;
    m_unanswered_since.reset();
  }
}

void EndpointGate::NoteActivity(bool holds_flow, base::TimePoint now) {
  m_was_away = m_was_away || m_is_absent || IsUnresponsive(now);
  m_unanswered_since.reset();
  m_is_absent = m_is_absent && !holds_flow;
}

void EndpointGate::NoteOpening(base::TimePoint now) {
  if (!m_unanswered_since) {
    m_unanswered_since = now;
  }
}

bool EndpointGate::IsUnresponsive(base::TimePoint now) const {
  return m_unanswered_since && now - *m_unanswered_since > kUnansweredTime;
}

EndpointStanding EndpointGate::Standing(base::TimePoint now) const {
  if (m_is_absent) {
    return EndpointStanding::kAbsent;
  }
  if (m_is_known && m_is_leaving) {
    return EndpointStanding::kLeaving;
  }
  if (IsUnresponsive(now)) {
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

bool EndpointGate::MayBeCold(base::TimePoint now) const {
  return !m_is_known || m_was_away || !m_successor.IsEmpty() || WarmUpLeft(now) > base::Duration(0);
}

base::Duration EndpointGate::WarmUpLeft(base::TimePoint now) const {
  return std::max(base::Duration(0), m_current.warm_up_left - (now - m_heard_at));
}

}  // namespace gaugevalve::placement
