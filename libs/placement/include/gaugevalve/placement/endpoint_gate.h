/// @file
/// What an agent knows of the endpoint beside it, from the endpoint's own announcements.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/endpoint_incarnation.h"

namespace gaugevalve::placement {

/// Whether an endpoint may be given new flows.
enum class EndpointStanding : std::uint8_t {
  kUnknown = 0,    ///< it hasn't been heard since the agent started
  kAdmitting = 1,  ///< ready
  kLeaving = 2,    ///< it said that it drains or ends
  kSilent = 3,     ///< it doesn't answer
  kStopping = 4,   ///< the agent itself is about to end
  kAbsent = 5,     ///< nothing listens at its address: it holds no flow
};

/// Returns the standing's name for logs.
const char* EndpointStandingName(EndpointStanding standing);

/// One announcement of an endpoint.
struct Announcement {
  EndpointIncarnation incarnation;
  bool is_draining = false;
  std::uint32_t capacity = 1;  ///< requests at a time
  base::Duration warm_up_left{0};
  std::uint64_t sequence = 0;  ///< rises with each announcement of the incarnation
};

/// What became of an announcement.
enum class AnnouncementOutcome : std::uint8_t {
  kTaken,
  kLate,         ///< an older one than the last of its incarnation, or of one that is over
  kUnconfirmed,  ///< of another incarnation while the present one seems to live: perhaps late
  /// Without a start, which the endpoint's own announcements name: somebody else's.
  kIncomplete,
};

/// Returns the outcome's name for logs.
const char* AnnouncementOutcomeName(AnnouncementOutcome outcome);

/// What a health check of the endpoint found.
enum class ProbeResult : std::uint8_t {
  kHealthy,    ///< it is ready for work
  kUnhealthy,  ///< it answered otherwise: it leaves, or fails
  kRefused,    ///< nothing listens at its address
  kNoAnswer,
};

/// The last gate before an endpoint: after it has acknowledged that the endpoint leaves, it admits
/// no new flow, however stale the balancers' knowledge is. A restarted agent knows nothing and
/// admits nothing until the endpoint is heard, or a balancer's recent memory is taken for a while.
///
/// Announcements may be seconds late, so one of another incarnation may be of its predecessor,
/// which has crashed, as well as of its successor. Numbers say nothing across incarnations. An
/// incarnation that was heard more than once, answers and hasn't said that it leaves gives way only
/// to one that is heard again after more than a period in which it was silent itself. One that said
/// that it leaves, or that another has followed, never speaks again. Where both say when they
/// started, the later start takes over at once, as two can't stand at one address; the earlier one
/// is believed only if it is heard again after more than a period, as the clock may have been set
/// back before it started. Two lives of one identifier that started in the same millisecond are
/// taken for one. Not thread-safe.
class EndpointGate {
 public:
  /// @param period  the interval of announcements
  /// @param memory_limit  a remembered standing may be used this long after the agent's start
  EndpointGate(base::Duration period, base::Duration memory_limit)
      : m_period(period), m_memory_limit(memory_limit) {}

  AnnouncementOutcome Announce(const Announcement& announcement, base::TimePoint now);

  /// The incarnation ends: now, without having drained, or after it.
  /// @param incarnation  without a start: whichever is present under this identifier
  void Deregister(const EndpointIncarnation& incarnation, base::TimePoint now);

  /// Takes what a balancer remembers; only while nothing is known first hand.
  /// @param sequence  of the announcement behind the memory
  void Remember(const Announcement& announcement, EndpointStanding standing, base::TimePoint now);

  /// Tells whether a health check is due: the endpoint isn't known, or doesn't answer. Notes it as
  /// begun.
  bool TakeProbe(base::TimePoint now);
  void NoteProbe(ProbeResult result, base::TimePoint now);

  /// Notes that an opening packet went to the endpoint, and that the endpoint sent something.
  void NoteOpening(base::TimePoint now);
  /// @param holds_flow  whether the packet is of a flow that the endpoint holds: one that is about
  ///                    to end gives back or resets what it gets, beside a closed port
  void NoteActivity(bool holds_flow, base::TimePoint now);

  EndpointStanding Standing(base::TimePoint now) const;

  /// Returns whether the endpoint has said that it leaves, or nothing listened when it was asked
  /// last and it hasn't been heard since.
  bool HasEnded() const { return (m_is_known && m_is_leaving) || m_is_refused; }

  /// Returns whether the endpoint is cold, or may be: nothing is known of it, it was away since it
  /// was last heard, or another incarnation may have taken its place.
  bool MayBeCold(base::TimePoint now) const;
  /// Tells whether others may take this gate's word: the endpoint said itself that it leaves, or
  /// more than once that it is ready.
  bool IsConfirmed() const { return m_is_first_hand && (m_is_repeated || m_is_leaving); }
  const Announcement& Newest() const { return m_current; }

  /// Returns when the endpoint, or what is remembered of it, was last heard.
  base::TimePoint HeardAt() const { return m_heard_at; }

  /// Returns how much longer the endpoint is slow from its start.
  base::Duration WarmUpLeft(base::TimePoint now) const;

 private:
  void Take(const Announcement& announcement, base::TimePoint now);
  bool IsOver(const EndpointIncarnation& incarnation) const;
  bool IsEarlierLife(const EndpointIncarnation& incarnation) const;
  bool IsPresent(const EndpointIncarnation& incarnation) const;
  void NoteEnded(const EndpointIncarnation& incarnation);
  bool IsUnresponsive(base::TimePoint now) const;
  bool GivesWayTo(const Announcement& announcement, base::TimePoint now);
  base::Duration ConfirmationTime() const;

  base::Duration m_period;
  base::Duration m_memory_limit;
  Announcement m_current;
  bool m_is_known = false;
  bool m_is_first_hand = false;
  bool m_is_repeated = false;  // a later announcement has confirmed the first, which may be late
  bool m_is_leaving = false;
  std::deque<EndpointIncarnation> m_ended;  // incarnations that are over, the last few
  EndpointIncarnation m_predecessor;        // of the present one, until that is confirmed
  EndpointIncarnation m_successor;          // heard, but doubted; empty without one
  std::uint64_t m_successor_sequence = 0;
  base::TimePoint m_successor_at{};    // first heard, with no word of the present one since
  base::TimePoint m_first_heard_at{};  // of the present one
  base::TimePoint m_heard_at{};
  std::optional<base::TimePoint>
      m_unanswered_since;  // the first opening with no sign of life since
  bool m_is_absent = false;
  bool m_is_refused = false;  // by the last probe, and not heard since
  bool m_was_away = false;    // it didn't answer since it was last heard, and does now
  std::optional<base::TimePoint> m_healthy_at;  // by a probe, while nothing is known first hand
  std::optional<base::TimePoint> m_probed_at;
};

}  // namespace gaugevalve::placement
