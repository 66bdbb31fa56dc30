/// @file
/// Selects the balancers that watch the store's configuration, and tracks how long ago any balancer
/// last reached the store.
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
  /// Maximum time from a change in the store until it is in force on all balancers.
  base::Duration change_limit = std::chrono::seconds(3);
};

/// Decision core. A few balancers, the first by DutyRank(), watch the store. The others learn by
/// gossip how long ago the store was last reached. A balancer that learns of no contact for too
/// long reads the store itself after a short random delay, so that one or two of them do it for
/// all. This covers readers that crash, hang, are partitioned or are rejected by the store, even
/// all of them at once. docs/design/0016 derives the maximum delay of a change. Not thread-safe.
class StoreReaderRole {
 public:
  /// Number of balancers that watch the store without faults. In deployments of up to this many all
  /// of them do.
  static constexpr std::size_t kReaders = 3;

  StoreReaderRole(const base::SocketAddress& self, StoreReaderSettings settings,
                  base::RandomSource& random, base::TimePoint now);

  /// Notes that the store has just returned or confirmed its newest configuration.
  void NoteContact(base::TimePoint now) { UpdateLastContact(now); }

  /// Notes a greeting from a peer that knows no newer configuration than this balancer, and whose
  /// last known contact with the store was `age` old when it sent the greeting.
  void NotePeer(base::Duration age, base::TimePoint now) {
    UpdateLastContact(now - age - kHopAllowance);
  }

  /// Added to the age for each greeting's transit, though most take a few milliseconds. If it were
  /// less than the time that a greeting waits on a busy machine, the age of a contact that
  /// circulates among peers would never grow.
  static constexpr base::Duration kHopAllowance = std::chrono::milliseconds(200);

  /// Notes that the store has rejected a call or not answered it.
  void NoteFailure(std::span<const BalancerAge> others, base::TimePoint now);

  /// Returns whether this balancer is to call the store now.
  bool ShouldRead(std::span<const BalancerAge> others, base::TimePoint now);

  /// Returns the time since this or another balancer last reached the store, or nothing if no
  /// contact is known.
  std::optional<base::Duration> Age(base::TimePoint now) const;

  /// Returns whether the last contact is so old that the readers must have failed.
  bool IsStale(base::TimePoint now) const;

  /// Returns whether the last contact is to be gossiped to peers. If so, it counts as gossiped.
  bool TakeContactUpdate();

  /// Returns how long a watch call may wait for a change.
  base::Duration WatchTimeout() const;

 private:
  void UpdateLastContact(base::TimePoint contact_at);

  base::SocketAddress m_self;
  StoreReaderSettings m_settings;
  base::RandomSource& m_random;
  base::TimePoint m_started_at;
  std::optional<base::TimePoint> m_last_contact_at;
  std::optional<base::TimePoint>
      m_last_gossiped_contact;                    // the contact that was last gossiped to peers
  std::optional<base::TimePoint> m_take_over_at;  // set while the last contact is too old
  base::TimePoint m_backoff_until{};              // no reads before this time, after a failure
};

}  // namespace gaugevalve::placement
