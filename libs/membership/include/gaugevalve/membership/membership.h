// The membership core: who is there, found out by the nodes themselves.
//
// SWIM (Das, Gupta, Motivala 2002) with the local health awareness and confirmed suspicions of
// Lifeguard (Dadgar et al. 2018), and with fixed observers on hash rings, as in Rapid (Suresh et
// al. 2018), in place of random ones: every member has known observers, and connections last.
//
// A decision core: no socket, clock or thread inside. MembershipRunner drives it.
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

// What the core has counted since it was made.
struct MembershipCounters {
  std::uint64_t probes_started = 0;
  std::uint64_t probes_failed = 0;
  std::uint64_t indirect_probes = 0;
  std::uint64_t suspicions_started = 0;  // by this node's own probes
  std::uint64_t refutations = 0;         // of suspicions of this node
  std::uint64_t malformed_messages = 0;
  std::uint64_t members_refused = 0;  // the table was full
  std::uint64_t pages_served = 0;
  std::uint64_t pages_refused = 0;  // over pages_per_second
};

// Not thread-safe. Calls take the time on one monotonic clock and append to `actions`.
class Membership {
 public:
  // `node` and `metadata` describe this node; `metadata.life` is its first incarnation. Throws
  // std::invalid_argument for names longer than kMaximumNameBytes.
  Membership(base::NodeId node, const MemberMetadata& metadata, MembershipOptions options,
             std::uint64_t seed);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Starts, and joins by the seeds. Called once, first.
  void Start(base::TimePoint now, MembershipActions& actions);

  // Takes a payload of MessageKind::kMembership.
  void OnMessage(const transport::SenderIdentity& sender, std::string_view payload,
                 base::TimePoint now, MembershipActions& actions);

  // Does what is due; to be called at NextWakeUp(), early calls are harmless.
  void OnTick(base::TimePoint now, MembershipActions& actions);
  base::TimePoint NextWakeUp() const;

  // Changes what this node says about itself; `life` is kept. Throws as the constructor does.
  void UpdateMetadata(const MemberMetadata& metadata, base::TimePoint now,
                      MembershipActions& actions);

  // Tells others that this node leaves. The node should go on ticking for a second, then end.
  void Leave(base::TimePoint now, MembershipActions& actions);

  // Takes in members known from elsewhere, without events: a shortcut for hollow nodes and tests.
  void Preload(std::span<const Member> members);

  const Member& Self() const;
  // Returns whether the state of the group was received (or none was there to join).
  bool IsJoined() const;
  // Returns the member; nothing when it is unknown or forgotten.
  std::optional<Member> Find(base::NodeId node) const;
  // Calls `visit` for each member known, dead ones too, this node as well, by rising identifier.
  void ForEach(const std::function<void(const Member&)>& visit) const;
  // Number of members that count as there, with this node.
  std::size_t LiveCount() const;
  std::size_t PendingUpdates() const;
  const MembershipCounters& Counters() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace gaugevalve::membership
