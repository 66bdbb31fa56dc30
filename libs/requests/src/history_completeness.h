// How far back the memory of a service's idempotency keys is whole; private to the library.
#pragma once

#include <optional>

#include "gaugevalve/base/time.h"

namespace gaugevalve::requests {

// Two agents hold each record, so one lost agent loses none. When a second is lost before the
// copies are restored, all that was recorded before is taken as forgotten. Not thread-safe.
class HistoryCompleteness {
 public:
  // `restore_time` is how long copies take to be restored; a lost agent may go on granting for
  // `freshness`. `now` is the start of this agent, which knows nothing of the time before.
  HistoryCompleteness(base::Duration restore_time, base::Duration freshness, base::TimePoint now)
      : restore_time_(restore_time), freshness_(freshness), complete_since_(now) {}

  // The first table came. Unless an older agent tells more, all before is forgotten, and a loss
  // soon after counts as the second one.
  void OnFirstTable(base::TimePoint now);

  // An agent was lost between `last_confirmed_at`, when the table was last confirmed, and `now`.
  void NoteLoss(base::TimePoint last_confirmed_at, base::TimePoint now);

  // A record had to be dropped: what was recorded before `now` may be forgotten.
  void NoteDroppedRecord(base::TimePoint now);

  // Another agent that knows the service's memory has it whole since then.
  void NoteReported(base::TimePoint complete_since);

  // All others were asked: what they told holds for this agent too.
  void AdoptReported();

  // Returns whether the record of a key that was first used at `created_at` may be forgotten.
  bool MayBeForgotten(base::TimePoint created_at) const { return created_at < complete_since_; }

  // Returns since when the memory is whole, once this agent knows the service's memory.
  std::optional<base::TimePoint> CompleteSince() const;

 private:
  base::Duration restore_time_;
  base::Duration freshness_;
  base::TimePoint complete_since_;
  bool knows_service_history_ =
      false;  // complete_since_ is what the service knows, not only our own start
  std::optional<base::TimePoint> newest_reported_;  // the newest that was told
  std::optional<base::TimePoint> last_loss_at_;
};

}  // namespace gaugevalve::requests
