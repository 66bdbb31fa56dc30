// Tracks running suspicions and their deadlines.
#pragma once

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "member_record.h"

namespace gaugevalve::membership {

// Bounds on the length of a suspicion.
struct SuspicionLimits {
  base::Duration minimum{0};               // once the expected confirmations have arrived
  base::Duration maximum{0};               // without any confirmation
  std::size_t expected_confirmations = 0;  // 0: the minimum applies from the start
};

// Lifeguard's suspicions: each accuser after the first shortens the remaining time, so a failure
// seen by several members is confirmed quickly and one seen by a single member slowly. Holds at
// most one entry per suspected member, so the table bounds its size.
class SuspicionTracker {
 public:
  struct ExpiredSuspicion {
    base::NodeId node;
    base::Incarnation incarnation;
  };

  // Starts a suspicion, replacing an earlier one of the same member.
  void Start(base::NodeId node, base::Incarnation incarnation, AccuserTag accuser,
             const SuspicionLimits& limits, base::TimePoint now);

  // Adds an accuser. Returns false when it has no effect: the accuser is known, there are enough of
  // them, or no suspicion of this incarnation is running.
  bool Confirm(base::NodeId node, base::Incarnation incarnation, AccuserTag accuser);

  void Stop(base::NodeId node);

  // Postpones all deadlines by the length of a pause in which this node could not receive
  // refutations.
  void Postpone(base::Duration pause);

  // Removes and returns one suspicion whose deadline has passed.
  std::optional<ExpiredSuspicion> PopExpired(base::TimePoint now);
  std::optional<base::TimePoint> NextDeadline() const;

 private:
  struct Suspicion {
    base::Incarnation incarnation;
    std::vector<AccuserTag> accusers;
    SuspicionLimits limits;
    base::TimePoint started_at;
    base::TimePoint deadline;
  };

  static base::Duration TimeoutOf(const Suspicion& suspicion);

  absl::btree_map<base::NodeId, Suspicion> suspicions_;
  absl::btree_set<std::pair<base::TimePoint, base::NodeId>> by_deadline_;
};

}  // namespace gaugevalve::membership
