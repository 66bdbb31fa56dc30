// Tracks since when a service's records of idempotency keys are complete; private to the library.
#pragma once

#include <optional>

#include "gaugevalve/base/time.h"

namespace gaugevalve::requests {

// Two agents hold each record, so losing one agent loses no record. If a second agent is lost
// before the copies are restored, all records from before are treated as lost. Not thread-safe.
class HistoryCompleteness {
 public:
  // `restore_time` is the time needed to restore copies; a lost agent may continue to grant for
  // `freshness`. `now` is the start time of this agent, which has no records from before.
  HistoryCompleteness(base::Duration restore_time, base::Duration freshness, base::TimePoint now)
      : restore_time_(restore_time), freshness_(freshness), complete_since_(now) {}

  // The first table was received. Unless an older agent reports a longer history, all earlier
  // records count as lost, and the next loss within the restore time counts as a second loss.
  void OnFirstTable(base::TimePoint now);

  // Notes that an agent was lost between `last_confirmed_at`, when the table was last confirmed,
  // and `now`.
  void NoteLoss(base::TimePoint last_confirmed_at, base::TimePoint now);

  // Notes that a record was dropped: records from before `now` may be lost.
  void NoteDroppedRecord(base::TimePoint now);

  // Notes that another agent, which knows the service's history, reported it complete since then.
  void NoteReported(base::TimePoint complete_since);

  // All other agents have answered: adopts what they reported.
  void AdoptReported();

  // Returns whether the record of a key that was first used at `created_at` may be lost.
  bool MayBeForgotten(base::TimePoint created_at) const { return created_at < complete_since_; }

  // Returns since when the records are complete, once this agent knows the service's history.
  std::optional<base::TimePoint> CompleteSince() const;

 private:
  base::Duration restore_time_;
  base::Duration freshness_;
  base::TimePoint complete_since_;
  // True once complete_since_ covers the service's history, not only this agent's own.
  bool knows_service_history_ = false;
  std::optional<base::TimePoint> newest_reported_;  // latest time that another agent reported
  std::optional<base::TimePoint> last_loss_at_;
};

}  // namespace gaugevalve::requests
