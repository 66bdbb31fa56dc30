// The membership core behind membership.h: its state, and the way of each message through its
// parts.
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

// Merges what comes in into the table, and hands it on: changes to the queue and as events, probes
// to the detector, whole views to the exchange. Calls, ticks and dispatch are in
// membership_core.cpp, what is done with records in membership_records.cpp.
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

  // A node that stood still missed answers and refutations: it starts its judgements anew.
  void DetectPause();

  void ApplyUpdates(const proto::MembershipMessage& message);

  // Takes a death at the incarnation known here, or a refutation: alive at the next one. One that
  // is about an incarnation unknown here is left to the comparison of digests.
  void ApplyFingerprint(Fingerprint fingerprint, MemberState state);

  void ApplyRecord(const MemberRecord& record);

  // What others say about this node. Only a higher incarnation of its own ends a wrong belief.
  void ApplyOwnRecord(const MemberRecord& record);

  void Refute(const MemberRecord& record);

  // A death may be heard of after it was refuted together with the suspicion before it.
  void ReportOwnDeath(const MemberRecord& record);

  void PublishSelf();

  void ConfirmSuspicion(const MemberRecord& record);

  // Passes piggybacked_bytes on. When there is very much of it, as at the loss of a zone,
  // suspicions by others are left out: verdicts matter more, and come without confirmation too,
  // only later.
  void QueueChange(const Member& member, AccuserTag accuser);

  void AfterChange(base::NodeId node, const std::optional<PreviousState>& previous,
                   AccuserTag accuser);

  // Tells a member that was taken for dead of it: its refutation may have been of the suspicion
  // alone, and travels faster. A few of the many that saw it are enough.
  void NotifyOfDeath(const Member& member, const PreviousState& previous);

  SuspicionLimits CurrentSuspicionLimits() const;

  // This node's own probe of the member failed.
  void Suspect(const Member& member);

  void ExpireSuspicions();

  // Asks a sender who it is, or tells it what it should know about itself: the latter not in answer
  // to mere updates, or two nodes that took each other for gone would go on for ever.
  void CheckSender(const transport::SenderIdentity& sender, bool may_answer);

  void Dispatch(const transport::SenderIdentity& sender, const proto::MembershipMessage& message);

  void Gossip();

  // Tries a member taken for dead: after a split the two sides find each other again.
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

  base::TimePoint now_{};  // of the present call
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
