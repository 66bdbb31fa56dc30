// The membership core: decentralised failure detection and a replicated list of members.
//
// SWIM (Das, Gupta, Motivala 2002) with the local health awareness and confirmed suspicions of
// Lifeguard (Dadgar et al. 2018). As in Rapid (Suresh et al. 2018), each member is probed by fixed
// observers on hash rings instead of random ones, so every member has known observers and
// connections are reused.
//
// The core is free of I/O: it has no socket, clock or thread. MembershipRunner drives it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>

#include "gaugevalve/base/time.h"
#include "gaugevalve/membership/member.h"
#include "gaugevalve/membership/membership_actions.h"
#include "gaugevalve/membership/membership_options.h"
#include "gaugevalve/transport/envelope.h"

namespace gaugevalve::membership {

// Event counts since construction.
struct MembershipCounters {
  std::uint64_t probes_started = 0;
  std::uint64_t probes_failed = 0;
  std::uint64_t indirect_probes = 0;
  std::uint64_t suspicions_started = 0;  // after failed probes of this node
  std::uint64_t refutations = 0;         // refutations that this node issued for itself
  std::uint64_t malformed_messages = 0;
  std::uint64_t members_refused = 0;  // rejected because the table was full
  std::uint64_t pages_served = 0;
  std::uint64_t pages_refused = 0;  // rejected by the rate limit or for lack of byte budget
};

// Not thread-safe. All calls take the time from the same monotonic clock and append to `actions`.
class Membership {
 public:
  // `node` and `metadata` describe this node; `metadata.process_incarnation` is its first
  // incarnation. Throws std::invalid_argument for names longer than kMaximumNameBytes.
  Membership(base::NodeId node, const MemberMetadata& metadata, MembershipOptions options,
             std::uint64_t seed);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Starts the core and joins the group through the seeds. Must be called exactly once, before any
  // other call.
  void Start(base::TimePoint now, MembershipActions& actions);

  // Handles a payload of MessageKind::kMembership.
  void OnMessage(const transport::SenderIdentity& sender, std::string_view payload,
                 base::TimePoint now, MembershipActions& actions);

  // Performs the work that is due. Call it at NextWakeUp(); earlier calls are harmless.
  void OnTick(base::TimePoint now, MembershipActions& actions);
  base::TimePoint NextWakeUp() const;

  // Replaces the metadata of this node, except for `process_incarnation`, which is kept. Throws as
  // the constructor does.
  void UpdateMetadata(const MemberMetadata& metadata, base::TimePoint now,
                      MembershipActions& actions);

  // Announces that this node leaves. The owner should keep ticking for one second so that the
  // announcement spreads, then stop.
  void Leave(base::TimePoint now, MembershipActions& actions);

  // Adds known members without raising events. Used by simulated nodes and tests to skip the join.
  void Preload(std::span<const Member> members);

  const Member& Self() const;
  // Returns whether this node has received the state of the group, or had no group to join.
  bool IsJoined() const;
  // Returns the member, or nothing when it is unknown or was pruned.
  std::optional<Member> Find(base::NodeId node) const;
  // Calls `visit` for each known member in ascending order of identifier, including dead members
  // and this node.
  void ForEach(const std::function<void(const Member&)>& visit) const;
  // Returns the number of live members, including this node.
  std::size_t LiveCount() const;
  std::size_t PendingUpdates() const;
  const MembershipCounters& Counters() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace gaugevalve::membership
