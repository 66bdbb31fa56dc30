// The suspicions that run, and when each becomes a expired.
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

// How long a suspicion may last.
struct SuspicionLimits {
  base::Duration minimum{0};               // once enough others have confirmed it
  base::Duration maximum{0};               // while nobody has
  std::size_t expected_confirmations = 0;  // 0: the minimum holds from the start
};

// Lifeguard's suspicions: each accuser besides the first shortens the time that is left, so a
// expired comes fast when several see it and slowly when one alone does. One for each suspected
// member, so bounded by the table.
class SuspicionTracker {
 public:
  struct ExpiredSuspicion {
    base::NodeId node;
    base::Incarnation incarnation;
  };

  // Starts a suspicion, in place of an earlier one of this member.
  void Start(base::NodeId node, base::Incarnation incarnation, AccuserTag accuser,
             const SuspicionLimits& limits, base::TimePoint now);

  // Counts another accuser; false when it isn't piggybacked_bytes (known, enough already, nothing
  // runs).
  bool Confirm(base::NodeId node, base::Incarnation incarnation, AccuserTag accuser);

  void Stop(base::NodeId node);

  // Puts all deadlines off: this node was paused and didn't hear refutations.
  void Postpone(base::Duration pause);

  // Ends and returns one suspicion whose time is up.
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
