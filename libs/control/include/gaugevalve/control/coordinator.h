// Coordinator: the holder of the coordinator's lease publishes which balancers may plan.
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

struct CoordinatorOptions {
  std::size_t roster_size = kMaxRosterMembers;
  // Time after which a roster member that is gone is replaced. Planning continues without it at
  // once.
  base::Duration replace_after = std::chrono::seconds(5);
  // Time after acquiring the lease in which membership and the newest roster may arrive.
  base::Duration settle_time = std::chrono::seconds(1);
};

// Decision core on every balancer; idle without the lease. Not thread-safe.
//
// The epoch is the store revision of the lease. A coordinator that lost its lease during a pause
// therefore publishes an older roster than its successor's, which no node accepts.
class Coordinator {
 public:
  // Number of slots of an epoch. When they are used up, MustResign() requests a new epoch.
  static constexpr std::uint32_t kSlotsPerEpoch = 0x8000;

  explicit Coordinator(const CoordinatorOptions& options) : options_(options) {}

  // Called when the lease is held, with its fencing token.
  void OnLeaseHeld(std::uint64_t epoch, base::TimePoint now);

  // Called when the lease is lost or given back.
  void OnLeaseLost();

  // Returns a roster to publish if one is due. `newest` is the newest roster known.
  // `settings_schema` is the schema that the roster requires of balancers; nothing to keep the
  // present one.
  std::optional<Roster> Tick(const MemberDirectory& directory, const Roster& newest,
                             std::optional<std::uint32_t> settings_schema, base::TimePoint now);

  // Tells whether the lease is held and the settle time has passed, in which members and rosters
  // could arrive.
  bool IsSettled(base::TimePoint now) const { return HoldsLease() && now >= settled_at_; }

  bool HoldsLease() const { return epoch_ != 0; }
  std::uint64_t Epoch() const { return epoch_; }

  // Tells whether the lease must be given back, because this epoch has no slots left or a newer
  // epoch is known.
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
