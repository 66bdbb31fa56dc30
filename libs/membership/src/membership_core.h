// The implementation behind membership.h: its state and the dispatch of messages to its parts.
#pragma once

#include "failure_detector.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/membership/membership.h"
#include "gossip_peers.h"
#include "local_health.h"
#include "member_table.h"
#include "outbox.h"
#include "peer_selector.h"
#include "proximity.h"
#include "state_exchange.h"
#include "suspicion_tracker.h"
#include "update_queue.h"

namespace gaugevalve::membership {

// Merges received records into the table and passes changes to the update queue and to the owner as
// events. Probe messages go to the failure detector, messages about whole views to the state
// exchange. Calls, ticks and dispatch are in membership_core.cpp, the handling of records is in
// membership_records.cpp.
class Membership::Implementation {
 public:
  Implementation(base::NodeId node, const MemberMetadata& metadata, MembershipOptions options,
                 std::uint64_t seed);

  void Start(base::TimePoint now, MembershipActions& actions);

  void OnMessage(const transport::SenderIdentity& sender, std::string_view payload,
                 base::TimePoint now, MembershipActions& actions);

  void OnTick(base::TimePoint now, MembershipActions& actions);

  base::TimePoint NextWakeUp() const;

  void UpdateMetadata(const MemberMetadata& metadata, base::TimePoint now,
                      MembershipActions& actions);

  void Leave(base::TimePoint now, MembershipActions& actions);

  void Preload(std::span<const Member> members);

  const Member& Self() const { return self_; }
  const MemberTable& Table() const { return table_; }
  const UpdateQueue& Queue() const { return queue_; }
  const MembershipCounters& Counters() const { return counters_; }
  bool IsJoined() const { return exchange_.IsJoined(); }

 private:
  void BeginCall(base::TimePoint now, MembershipActions& actions);

  void EmitEvent(EventKind kind, const Member& member, base::Duration pause = {});

  // Detects that this node did not run for a while. It has missed acknowledgements and refutations,
  // so it restarts its probes and postpones its suspicions.
  void DetectPause();

  void ApplyUpdates(const proto::MembershipMessage& message);

  // Applies a fingerprint update: a death at the incarnation known here, or a refutation, which
  // means alive at the next incarnation. Updates for an incarnation that is unknown here are left
  // to the digest comparison.
  void ApplyFingerprint(Fingerprint fingerprint, MemberState state);

  void ApplyRecord(const MemberRecord& record);

  // Handles a record about this node. A wrong one is refuted by raising this node's incarnation.
  void ApplyOwnRecord(const MemberRecord& record);

  void Refute(const MemberRecord& record);

  // Raises kSelfDeclaredDead. The death may arrive after this node has already refuted it together
  // with the preceding suspicion, so the record's incarnation can be older than the current one.
  void ReportOwnDeath(const MemberRecord& record);

  void PublishSelf();

  void ConfirmSuspicion(const MemberRecord& record);

  // Queues a change for gossip. While many updates are queued, as after the loss of a zone,
  // suspicions by other nodes are not passed on: deaths matter more, and without confirmations a
  // member is still declared dead, only later.
  void QueueChange(const Member& member, AccuserTag accuser);

  void AfterChange(base::NodeId node, const std::optional<PreviousState>& previous,
                   AccuserTag accuser);

  // Notifies a member that was declared dead of its death. The member may have refuted only the
  // suspicion, and its refutation may have overtaken the death. Only a random few of the observers
  // send this notice.
  void NotifyOfDeath(const Member& member, const PreviousState& previous);

  SuspicionLimits CurrentSuspicionLimits() const;

  // Starts a suspicion after a failed probe of this node.
  void Suspect(const Member& member);

  void ExpireSuspicions();

  // Requests the record of a sender that is unknown or has a newer incarnation. Otherwise sends the
  // sender this node's record about it if that record is newer or not alive. The latter is done
  // only if `may_answer`: if plain updates were answered too, two nodes that believe each other
  // dead would reply to each other endlessly.
  void CheckSender(const transport::SenderIdentity& sender, bool may_answer);

  void Dispatch(const transport::SenderIdentity& sender, const proto::MembershipMessage& message);

  void Gossip();

  // Pings a random dead member, so that the two sides of a partition find each other again.
  void ProbeDeadMember();

  void PruneDead();

  MembershipOptions options_;
  base::RandomSource random_;
  ProximityClassifier classifier_;
  Member self_;
  MemberTable table_;
  UpdateQueue queue_;
  LocalHealth health_;
  MembershipCounters counters_;
  SuspicionTracker suspicions_;
  PeerSelector selector_;
  Outbox outbox_;
  FailureDetector detector_;
  StateExchange exchange_;
  GossipPeers gossip_peers_;

  base::TimePoint now_{};  // of the current call
  MembershipActions* actions_ = nullptr;
  base::TimePoint last_tick_at_{};
  base::TimePoint next_gossip_at_{};
  base::TimePoint next_heal_at_{};
  base::TimePoint fast_heal_until_{};
  base::TimePoint next_prune_at_{};
  base::Incarnation last_reported_death_;
  bool is_superseded_ = false;
};

}  // namespace gaugevalve::membership
