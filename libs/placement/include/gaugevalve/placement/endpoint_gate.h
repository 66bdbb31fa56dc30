/// @file
/// What an agent knows of the endpoint beside it, from the endpoint's own announcements.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gaugevalve/base/time.h"

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
  std::string id;  ///< of the endpoint's incarnation
  bool is_draining = false;
  std::uint32_t capacity = 1;  ///< requests at a time
  base::Duration warm_up_left{0};
  std::uint64_t sequence = 0;  ///< rises with each announcement of the incarnation
};

/// What became of an announcement.
enum class AnnouncementOutcome : std::uint8_t {
  kTaken,
  kLate,  ///< an older one than the last of its incarnation, or of one that has left
};

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
/// Not thread-safe.
class EndpointGate {
 public:
  /// @param period  the interval of announcements
  /// @param memory_limit  a remembered standing may be used this long after the agent's start
  EndpointGate(base::Duration period, base::Duration memory_limit)
      : m_period(period), m_memory_limit(memory_limit) {}

  AnnouncementOutcome Announce(const Announcement& announcement, base::TimePoint now);

  /// The incarnation ends: now, without having drained, or after it.
  void Deregister(const std::string& id, base::TimePoint now);

  /// Takes what a balancer remembers; only while nothing is known first hand.
  /// @param sequence  of the announcement behind the memory
  void Remember(const Announcement& announcement, EndpointStanding standing, base::TimePoint now);

  /// Tells whether a health check is due: the endpoint isn't known, or doesn't answer. Notes it as
  /// begun.
  bool TakeProbe(base::TimePoint now);
  void NoteProbe(ProbeResult result, base::TimePoint now);

  /// Notes that an opening packet went to the endpoint, and that the endpoint sent something.
  void NoteOpening(base::TimePoint now);
  void NoteLife();

  EndpointStanding Standing(base::TimePoint now) const;
  /// Tells whether others may take this gate's word: the endpoint said itself that it leaves, or
  /// more than once that it is ready.
  bool IsCertain() const { return m_is_first_hand && (m_is_repeated || m_is_leaving); }
  const Announcement& Newest() const { return m_current; }

  /// Returns how much longer the endpoint is slow from its start.
  base::Duration WarmUpLeft(base::TimePoint now) const;

 private:
  base::Duration m_period;
  base::Duration m_memory_limit;
  Announcement m_current;
  bool m_is_known = false;
  bool m_is_first_hand = false;
  bool m_is_repeated = false;  // a later announcement has confirmed the first, which may be late
  bool m_is_leaving = false;
  std::string m_left_id;  // the last incarnation that said it leaves
  base::TimePoint m_heard_at{};
  unsigned m_unanswered = 0;
  base::TimePoint m_unanswered_since{};
  bool m_is_absent = false;
  std::optional<base::TimePoint> m_healthy_at;  // by a probe, while nothing is known first hand
  std::optional<base::TimePoint> m_probed_at;
};

}  // namespace gaugevalve::placement
