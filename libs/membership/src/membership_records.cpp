// How the core applies records about members and publishes its own.
#include <algorithm>
#include <cmath>
#include <utility>

#include "change_events.h"
#include "group_summary.h"
#include "membership_core.h"

namespace gaugevalve::membership {
namespace {

// In small groups too, a suspicion must last longer than a brief stall of the suspected machine.
constexpr double kMinimumSuspicionScale = 2.5;
// Number of accusers after the first that shorten a suspicion to its minimum.
constexpr std::size_t kExpectedConfirmations = 2;
// Expected number of members that notify one that was declared dead. With this value, none does in
// one of 10^7 cases.
constexpr double kExpectedDeathNotices = 16;
// With this many updates queued, suspicions by other nodes are not passed on.
constexpr std::size_t kBusyQueueSize = 64;

}  // namespace

void Membership::Implementation::ApplyUpdates(const proto::MembershipMessage& message) {
  for (const proto::MemberRecord& encoded : message.updates()) {
    const std::optional<MemberRecord> record = DecodeRecord(encoded);
    if (record) {
      ApplyRecord(*record);
    } else {
      ++counters_.malformed_messages;
    }
  }
  for (const proto::GroupSummary& summary : message.summaries()) {
    for (const MemberRecord& record :
         DecodeSummary(table_, summary, options_.faults.trust_any_group_base)) {
      ApplyRecord(record);
    }
  }
  for (const Fingerprint fingerprint : message.dead()) {
    ApplyFingerprint(fingerprint, MemberState::kDead);
  }
  for (const Fingerprint fingerprint : message.refuted()) {
    ApplyFingerprint(fingerprint, MemberState::kAlive);
  }
}

void Membership::Implementation::ApplyFingerprint(Fingerprint fingerprint, MemberState state) {
  const std::optional<base::NodeId> node = table_.Fingerprints().Find(fingerprint);
  if (!node) {
    return;
  }
  const Member* member = table_.Find(*node);
  const std::uint64_t step = state == MemberState::kAlive ? 1 : 0;
  ApplyRecord({*node, base::Incarnation(member->incarnation.value() + step),
               member->metadata_version, state, nullptr, 0});
}

void Membership::Implementation::ApplyRecord(const MemberRecord& record) {
  if (record.node == self_.node) {
    ApplyOwnRecord(record);
    return;
  }
  const MergeResult result = options_.faults.accept_older_incarnations
                                 ? table_.MergeWithoutOrder(record, now_)
                                 : table_.Merge(record, now_);
  switch (result.outcome) {
    case MergeOutcome::kIgnored:
      return;
    case MergeOutcome::kSame:
      ConfirmSuspicion(record);
      return;
    case MergeOutcome::kNeedsMetadata:
      exchange_.QueueRecordRequest(record.node);
      return;
    case MergeOutcome::kRefused:
      ++counters_.members_refused;
      return;
    case MergeOutcome::kChanged:
      AfterChange(record.node, result.previous, record.accuser);
      return;
  }
}

void Membership::Implementation::ApplyOwnRecord(const MemberRecord& record) {
  ReportOwnDeath(record);
  const bool is_known =
      record.incarnation < self_.incarnation ||
      (record.incarnation == self_.incarnation && record.state == MemberState::kAlive);
  if (is_known || self_.state == MemberState::kLeft || options_.faults.never_refute) {
    return;
  }
  const bool is_of_another_process = record.metadata_version > self_.metadata_version;
  if (is_of_another_process && record.state == MemberState::kAlive && IsJoined()) {
    is_superseded_ = true;
    EmitEvent(EventKind::kSelfSuperseded, self_);
    return;
  }
  Refute(record);
}

void Membership::Implementation::Refute(const MemberRecord& record) {
  const bool clock_went_back = record.incarnation > self_.incarnation;
  self_.incarnation = base::Incarnation(record.incarnation.value() + 1);
  if (clock_went_back) {
    self_.metadata_version = self_.incarnation;  // others may hold the metadata of a former process
  }
  ++counters_.refutations;
  health_.RecordFailure();
  PublishSelf();
}

void Membership::Implementation::ReportOwnDeath(const MemberRecord& record) {
  const bool is_of_this_process =
      IsJoined() && record.incarnation >= self_.metadata->process_incarnation;
  if (record.state != MemberState::kDead || !is_of_this_process ||
      record.incarnation <= last_reported_death_ || options_.faults.never_refute) {
    return;
  }
  last_reported_death_ = record.incarnation;
  EmitEvent(EventKind::kSelfDeclaredDead, self_);
}

void Membership::Implementation::PublishSelf() {
  table_.Put(self_);
  queue_.Enqueue(self_.node, 0);
}

void Membership::Implementation::ConfirmSuspicion(const MemberRecord& record) {
  if (record.state == MemberState::kSuspect &&
      suspicions_.Confirm(record.node, record.incarnation, record.accuser)) {
    QueueChange(*table_.Find(record.node), record.accuser);
  }
}

void Membership::Implementation::QueueChange(const Member& member, AccuserTag accuser) {
  const bool is_own = accuser == MakeAccuserTag(self_.node);
  if (member.state != MemberState::kSuspect || is_own || queue_.size() < kBusyQueueSize) {
    queue_.Enqueue(member.node, accuser);
  }
}

void Membership::Implementation::AfterChange(base::NodeId node,
                                             const std::optional<PreviousState>& previous,
                                             AccuserTag accuser) {
  const Member member = *table_.Find(node);
  detector_.OnMemberChanged(member);
  QueueChange(member, accuser);
  for (const EventKind kind : EventsOfChange(member, previous)) {
    EmitEvent(kind, member);
  }
  if (previous && previous->state == MemberState::kDead) {
    NotifyOfDeath(member, *previous);
  }
  if (member.state != MemberState::kSuspect) {
    suspicions_.Stop(node);
    return;
  }
  suspicions_.Start(node, member.incarnation, accuser, CurrentSuspicionLimits(), now_);
  detector_.OnSuspected(member, now_);
}

void Membership::Implementation::NotifyOfDeath(const Member& member,
                                               const PreviousState& previous) {
  const bool is_same_process = member.metadata->process_incarnation == previous.process_incarnation;
  const double fraction = kExpectedDeathNotices / static_cast<double>(table_.LiveCount());
  if (!IsLive(member.state) || !is_same_process || random_.NextUnit() >= fraction) {
    return;
  }
  Member death = member;
  death.incarnation = previous.incarnation;
  death.metadata_version = previous.metadata_version;
  death.state = MemberState::kDead;
  proto::MembershipMessage message;
  EncodeRecord(death, RecordDetail::kState, 0, *message.add_updates());
  outbox_.Send(member.metadata->control_address, message, SendPriority::kProbe);
}

SuspicionLimits Membership::Implementation::CurrentSuspicionLimits() const {
  const double members = static_cast<double>(table_.LiveCount()) + 1;
  const double scale = std::max(kMinimumSuspicionScale, std::log10(members));
  const double minimum =
      static_cast<double>(options_.probe_interval.count()) * options_.suspicion_intervals * scale;
  const double maximum = minimum * options_.unconfirmed_suspicion_factor;
  const std::size_t others = table_.LiveCount() > 2 ? table_.LiveCount() - 2 : 0;
  return {health_.ScaleTimeout(base::Duration(static_cast<base::Duration::rep>(minimum))),
          health_.ScaleTimeout(base::Duration(static_cast<base::Duration::rep>(maximum))),
          std::min(kExpectedConfirmations, others)};
}

void Membership::Implementation::Suspect(const Member& member) {
  ++counters_.suspicions_started;
  ApplyRecord({member.node, member.incarnation, member.metadata_version, MemberState::kSuspect,
               nullptr, MakeAccuserTag(self_.node)});
}

void Membership::Implementation::ExpireSuspicions() {
  while (const auto expired = suspicions_.PopExpired(now_)) {
    const Member* member = table_.Find(expired->node);
    if (member != nullptr && member->incarnation == expired->incarnation) {
      ApplyRecord({member->node, member->incarnation, member->metadata_version, MemberState::kDead,
                   nullptr, 0});
    }
  }
}

}  // namespace gaugevalve::membership
