/// @file
/// Which balancers watch the store's configuration, and how old everybody's knowledge of it is.
#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/balancer_list.h"

namespace gaugevalve::placement {

struct StoreReaderSettings {
  /// A configuration has to be in force everywhere this long after the store has taken it.
  base::Duration change_limit = std::chrono::seconds(3);
};

/// Decision core. A few balancers, the first by DutyRank(), watch the store; the others are told by
/// peers how long ago the store was last heard, which peers pass on like a configuration. Whoever
/// hears of no contact for too long reads the store itself, each after a short time drawn by
/// chance, so that one or two do it for all: a reader may crash, freeze, be cut off or be turned
/// away, and all readers may at once. docs/design/0016 adds up how long a change takes at most. Not
/// thread-safe.
class StoreReaderRole {
 public:
  /// Balancers that watch while all is well; in smaller deployments all do.
  static constexpr std::size_t kReaders = 3;

  StoreReaderRole(const base::SocketAddress& self, StoreReaderSettings settings,
                  base::RandomSource& random, base::TimePoint now);

  /// Notes that the store has said what its newest configuration is.
  void NoteContact(base::TimePoint now) { NoteHeard(now); }

  /// Notes that a peer knows no newer configuration than this balancer, and heard of the store
  /// `age` before it said so.
  void NotePeer(base::Duration age, base::TimePoint now) { NoteHeard(now - age - kHopTime); }

  /// Counted for the way of each greeting, though most take a few milliseconds: where it were less
  /// than a greeting waits on a busy machine, knowledge that goes round among peers would never
  /// age.
  static constexpr base::Duration kHopTime = std::chrono::milliseconds(200);

  /// Notes that the store has refused a call, or not answered it.
  void NoteFailure(std::span<const BalancerAge> others, base::TimePoint now);

  /// Returns whether this balancer is to call the store now.
  bool ShouldRead(std::span<const BalancerAge> others, base::TimePoint now);

  /// Returns how long ago the store was heard, by this balancer or another one, or nothing.
  std::optional<base::Duration> Age(base::TimePoint now) const;

  /// Returns whether that is so long ago that the readers must have failed.
  bool IsStale(base::TimePoint now) const;

  /// Returns whether peers are to be told of the last contact, and counts them as told.
  bool TakeNews();

  /// Returns how long a watch may wait in a deployment of few readers.
  base::Duration WatchTimeout() const;

 private:
  void NoteHeard(base::TimePoint heard_at);

  base::SocketAddress m_self;
  StoreReaderSettings m_settings;
  base::RandomSource& m_random;
  base::TimePoint m_started_at;
  std::optional<base::TimePoint> m_heard_at;
  std::optional<base::TimePoint> m_passed_on;     // the contact that peers were last told of
  std::optional<base::TimePoint> m_take_over_at;  // while the knowledge is too old
  base::TimePoint m_resting_until{};              // after a failure
};

}  // namespace gaugevalve::placement
