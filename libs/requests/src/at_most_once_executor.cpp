// Executor role: keyed requests of this agent, from Begin() to their end.
#include <algorithm>

#include "gaugevalve/requests/at_most_once.h"
#include "message_codec.h"

namespace gaugevalve::requests {
namespace {

std::chrono::milliseconds ToMilliseconds(base::Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

}  // namespace

AtMostOnceActions AtMostOnce::Begin(const KeyedRequest& request, base::TimePoint now) {
  AtMostOnceActions actions;
  if (pending_.size() >= limits_.pending_capacity) {
    Refuse(request.id, RequestOutcome::kNotRun, RefusalReason::kKeyTableFull, actions);
    return actions;
  }
  Pending pending;
  pending.request = request;
  pending.grant = {self_, incarnation_, next_grant_};
  ++next_grant_;
  by_grant_[pending.grant.number] = request.id;
  Pending& stored = pending_[request.id] = pending;
  Advance(stored, now, actions);
  return actions;
}

AtMostOnceActions AtMostOnce::Abandon(RequestId id, base::TimePoint now) {
  AtMostOnceActions actions;
  const auto found = pending_.find(id);
  if (found == pending_.end() || found->second.phase == Phase::kRunning) {
    return actions;
  }
  Withdraw(found->second, now, actions);
  Forget(id);
  return actions;
}

AtMostOnceActions AtMostOnce::Finish(RequestId id, ExecutionState state, const StoredAnswer& answer,
                                     base::TimePoint now) {
  AtMostOnceActions actions;
  const auto found = pending_.find(id);
  if (found == pending_.end() || found->second.phase != Phase::kRunning) {
    return actions;
  }
  ExecutionRecord* const record = records_.Find(found->second.request.key);
  if (record != nullptr && record->grant == found->second.grant) {
    record->state = state;
    record->answer = answer;
    record->answer.body.resize(std::min(answer.body.size(), kMaxStoredBodyBytes));
    if (answer.body.size() > kMaxStoredBodyBytes) {
      record->answer.body.clear();
    }
    ReportEnd(*record, now, actions);
  }
  Forget(id);
  return actions;
}

AtMostOnceActions AtMostOnce::OnTimer(base::TimePoint now) {
  AtMostOnceActions actions;
  records_.Expire(now);
  std::vector<RequestId> overdue;
  std::vector<RequestId> due;
  for (const auto& [id, pending] : pending_) {
    if (pending.phase != Phase::kRunning && now >= pending.request.deadline) {
      overdue.push_back(id);
    } else if (pending.phase != Phase::kRunning && now >= pending.resend_at) {
      due.push_back(id);
    }
  }
  for (const RequestId id : overdue) {
    Withdraw(pending_.at(id), now, actions);
    Refuse(id, RequestOutcome::kNotRun, RefusalReason::kKeyOwnerUnsettled, actions);
  }
  for (const RequestId id : due) {
    Advance(pending_.at(id), now, actions);
  }
  if (table_ != nullptr) {
    SendCollectRequests(now, actions);
  }
  for (auto& [key, restoration] : restorations_) {
    if (now >= restoration.resend_at) {
      SendRestoration(key, restoration, now, actions);
    }
  }
  return actions;
}

void AtMostOnce::Advance(Pending& pending, base::TimePoint now, AtMostOnceActions& actions) {
  pending.resend_at = now + limits_.resend_interval;
  if (table_ == nullptr) {
    return;
  }
  const base::BucketIndex bucket = BucketOf(pending.request.key);
  const base::NodeId owner = EntryOf(bucket).owner;
  if (owner != self_) {
    pending.phase = Phase::kAwaitingPermit;
    AskOwner(pending, owner, actions);
  } else if (IsSettledOwner(bucket, now)) {
    DecideLocally(pending, now, actions);
  }
}

void AtMostOnce::AskOwner(Pending& pending, base::NodeId owner, AtMostOnceActions& actions) {
  if (owner == base::NodeId()) {
    return;
  }
  OutgoingMessage outgoing{owner, {}};
  proto::PermitRequest* const request = outgoing.message.mutable_permit_request();
  EncodeKey(pending.request.key, request->mutable_key());
  request->set_fingerprint(pending.request.fingerprint);
  request->set_grant(pending.grant.number);
  request->set_executor_incarnation(incarnation_.value());
  if (pending.request.key_created_at) {
    request->set_key_created_milliseconds(ToMilliseconds(*pending.request.key_created_at).count());
  }
  EncodeVersion(acknowledged_[BucketOf(pending.request.key).value()], request->mutable_version());
  actions.send.push_back(std::move(outgoing));
}

void AtMostOnce::DecideLocally(Pending& pending, base::TimePoint now, AtMostOnceActions& actions) {
  ExecutionRecord requested;
  requested.key = pending.request.key;
  requested.fingerprint = pending.request.fingerprint;
  requested.grant = pending.grant;
  requested.first_recorded_at = now;
  const proto::Verdict verdict = Decide(requested, pending.request.key_created_at, now);
  if (verdict == proto::RUN) {
    AskForCopy(pending, now, actions);
    return;
  }
  const ExecutionRecord* const known = records_.Find(requested.key);
  if (known != nullptr) {
    QueryExecutor(*known, now, actions);
  }
  End(pending.request.id, known != nullptr ? *known : requested, verdict, actions);
}

void AtMostOnce::AskForCopy(Pending& pending, base::TimePoint now, AtMostOnceActions& actions) {
  const std::optional<base::NodeId> holder = ChooseCopyHolder(pending.request.key);
  if (!holder || !limits_.mechanisms.copy_before_running) {
    Run(pending, actions);
    return;
  }
  pending.phase = Phase::kAwaitingCopy;
  pending.copy_holder = *holder;
  ExecutionRecord* const record = records_.Find(pending.request.key);
  record->second_holder = *holder;
  OutgoingMessage outgoing{*holder, {}};
  proto::CopyRequest* const request = outgoing.message.mutable_copy_request();
  EncodeRecord(*record, now, request->mutable_record());
  EncodeVersion(EntryOf(BucketOf(record->key)).version, request->mutable_version());
  actions.send.push_back(std::move(outgoing));
}

void AtMostOnce::Run(Pending& pending, AtMostOnceActions& actions) {
  pending.phase = Phase::kRunning;
  actions.run.push_back(pending.request.id);
}

void AtMostOnce::OnPermitReply(base::NodeId sender, const proto::PermitReply& message,
                               base::TimePoint now, AtMostOnceActions& actions) {
  const ExecutionRecord asked = DecodeRecord(message.asked(), now);
  Pending* const pending = FindPending(asked.grant);
  if (pending == nullptr) {
    if (message.verdict() == proto::RUN) {
      OnPermitForUnknownGrant(sender, asked, now, actions);
    }
    return;
  }
  if (pending->phase != Phase::kAwaitingPermit) {
    return;
  }
  const base::BucketIndex bucket = BucketOf(pending->request.key);
  if (!Acknowledge(bucket, DecodeVersion(message.version()))) {
    return;  // decided under an older version than this agent has acknowledged
  }
  switch (message.verdict()) {
    case proto::RUN:
      OnPermitToRun(*pending, message, now, actions);
      break;
    case proto::UNSETTLED:
    case proto::NOT_OWNER:
      break;  // asked again at resend_at
    default:
      End(pending->request.id, DecodeRecord(message.known(), now), message.verdict(), actions);
  }
}

void AtMostOnce::OnPermitToRun(Pending& pending, const proto::PermitReply& message,
                               base::TimePoint now, AtMostOnceActions& actions) {
  ExecutionRecord record = DecodeRecord(message.asked(), now);
  record.state = ExecutionState::kGranted;
  if (records_.Put(record)) {
    Run(pending, actions);
    return;
  }
  Withdraw(pending, now, actions);
  Refuse(pending.request.id, RequestOutcome::kNotRun, RefusalReason::kKeyTableFull, actions);
}

// Handles a permit for a grant that is not pending here: the request ended, was cancelled, or
// belongs to another incarnation.
void AtMostOnce::OnPermitForUnknownGrant(base::NodeId sender, const ExecutionRecord& record,
                                         base::TimePoint now, AtMostOnceActions& actions) {
  if (record.grant.executor != self_ || record.grant.incarnation != incarnation_) {
    return;
  }
  ExecutionRecord answer = record;
  const ExecutionRecord* const known = records_.Find(record.key);
  const bool ended_here = known != nullptr && known->grant == record.grant;
  // An old grant may have run, and its record may have expired since.
  const bool may_be_forgotten = record.first_recorded_at + limits_.window / 2 < now;
  answer.state = may_be_forgotten ? ExecutionState::kUnknown : ExecutionState::kNotRun;
  if (ended_here) {
    answer = *known;
  }
  OutgoingMessage outgoing{sender, {}};
  EncodeRecord(answer, now, outgoing.message.mutable_finished()->mutable_record());
  actions.send.push_back(std::move(outgoing));
}

void AtMostOnce::End(RequestId id, const ExecutionRecord& known, proto::Verdict verdict,
                     AtMostOnceActions& actions) {
  switch (verdict) {
    case proto::KNOWN:
      EndWithKnownRecord(id, known, actions);
      return;
    case proto::FORGOTTEN:
      Refuse(id, RequestOutcome::kOutcomeUnknown, RefusalReason::kKeyForgotten, actions);
      return;
    case proto::REUSED:
      Refuse(id, RequestOutcome::kNotRun, RefusalReason::kKeyReused, actions);
      return;
    default:
      Refuse(id, RequestOutcome::kNotRun, RefusalReason::kKeyTableFull, actions);
  }
}

void AtMostOnce::EndWithKnownRecord(RequestId id, const ExecutionRecord& known,
                                    AtMostOnceActions& actions) {
  if (known.state == ExecutionState::kAnswered) {
    actions.repeated.push_back({id, known.answer});
    Forget(id);
    return;
  }
  const bool executor_lives = IsLiveIncarnation(known.grant.executor, known.grant.incarnation);
  RefusalReason reason = RefusalReason::kEndpointFailed;
  if (known.state == ExecutionState::kGranted) {
    reason = executor_lives ? RefusalReason::kKeyInProgress : RefusalReason::kExecutorLost;
  }
  Refuse(id, RequestOutcome::kOutcomeUnknown, reason, actions);
}

void AtMostOnce::Refuse(RequestId id, RequestOutcome outcome, RefusalReason reason,
                        AtMostOnceActions& actions) {
  constexpr base::Duration kRetryAfter{1'000'000};
  const bool worth_repeating = reason != RefusalReason::kKeyReused;
  actions.refused.push_back(
      {id, {outcome, reason, worth_repeating ? kRetryAfter : base::Duration(0)}});
  Forget(id);
}

// Withdraws a request that has not started and notifies the agents that may have recorded its
// grant.
void AtMostOnce::Withdraw(const Pending& pending, base::TimePoint now, AtMostOnceActions& actions) {
  ExecutionRecord ended;
  ended.key = pending.request.key;
  ended.fingerprint = pending.request.fingerprint;
  ended.grant = pending.grant;
  ended.state = ExecutionState::kNotRun;
  ended.second_holder = pending.copy_holder;
  ended.first_recorded_at = now;
  ExecutionRecord* const known = records_.Find(ended.key);
  if (known != nullptr && known->grant == ended.grant) {
    known->state = ExecutionState::kNotRun;
  }
  if (table_ != nullptr) {
    ReportEnd(ended, now, actions);
  }
}

void AtMostOnce::ReportEnd(const ExecutionRecord& record, base::TimePoint now,
                           AtMostOnceActions& actions) {
  const base::NodeId owner = EntryOf(BucketOf(record.key)).owner;
  for (const base::NodeId receiver : {owner, record.second_holder}) {
    if (receiver == base::NodeId() || receiver == self_) {
      continue;
    }
    OutgoingMessage outgoing{receiver, {}};
    EncodeRecord(record, now, outgoing.message.mutable_finished()->mutable_record());
    actions.send.push_back(std::move(outgoing));
  }
}

}  // namespace gaugevalve::requests
