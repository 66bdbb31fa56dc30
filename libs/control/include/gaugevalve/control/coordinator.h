// What the holder of the coordinator's lease does: it says which balancers may plan.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/control/member_directory.h"
#include "gaugevalve/control/roster.h"

namespace gaugevalve::control {

// How the roster is kept.
struct CoordinatorOptions {
  std::size_t roster_size = kMaxRosterMembers;
  // A roster member that is gone is replaced after this time; planning goes on without it at once.
  base::Duration replace_after = std::chrono::seconds(5);
  // Time after taking the lease in which membership and the newest roster may arrive.
  base::Duration settle_time = std::chrono::seconds(1);
};

// Decision core, on every balancer; idle without the lease. Not thread-safe.
//
// The epoch is the store revision of the lease, so a coordinator that lost its lease while it was
// paused publishes an older roster than its successor's, which nobody takes.
class Coordinator {
 public:
  // Slots an epoch has; when they are used up MustResign() asks for a new epoch.
  static constexpr std::uint32_t kSlotsPerEpoch = 0x8000;

  explicit Coordinator(const CoordinatorOptions& options) : options_(options) {}

  // The lease is held, with this fencing token.
  void OnLeaseHeld(std::uint64_t epoch, base::TimePoint now);

  // The lease is lost or given back.
  void OnLeaseLost();

  // Returns a roster to publish when one is due. `newest` is the newest roster known;
  // `settings_schema` what the roster is to ask of balancers, nothing to leave that as it is.
  std::optional<Roster> Tick(const MemberDirectory& directory, const Roster& newest,
                             std::optional<std::uint32_t> settings_schema, base::TimePoint now);

  // True when the lease is held and what there is to know had time to arrive.
  bool IsSettled(base::TimePoint now) const { return HoldsLease() && now >= settled_at_; }

  bool HoldsLease() const { return epoch_ != 0; }
  std::uint64_t Epoch() const { return epoch_; }

  // True when the lease must be given back, because this epoch has no slots left or a newer one is
  // known.
  bool MustResign() const { return must_resign_; }

 private:
  bool IsOverdue(const RosterMember& member, const MemberDirectory& directory, base::TimePoint now);
  void FillVacancies(const MemberDirectory& directory, Roster& roster);

  CoordinatorOptions options_;
  std::uint64_t epoch_ = 0;
  bool must_resign_ = false;
  base::TimePoint settled_at_{};
  std::uint32_t next_slot_ = 0;
  Roster published_;
  std::map<base::NodeId, base::TimePoint> missing_since_;  // roster members only
};

}  // namespace gaugevalve::control
