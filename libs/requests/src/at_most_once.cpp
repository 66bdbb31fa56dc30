#include "gaugevalve/requests/at_most_once.h"

#include <algorithm>

#include "gaugevalve/base/hash.h"
#include "message_codec.h"

namespace gaugevalve::requests {
namespace {

// Records in one reply to a collection, so that a reply fits the control budget.
constexpr std::size_t kRecordsPerReply = 16;

// The time in a key has 48 bits (RFC 9562); a larger number is malformed.
constexpr std::uint64_t kLatestKeyMilliseconds = (std::uint64_t{1} << 48U) - 1;

bool SameLife(const routing::AgentEntry& left, const routing::AgentEntry& right) {
  return left.node == right.node && left.incarnation == right.incarnation;
}

std::chrono::milliseconds ToMilliseconds(base::Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

}  // namespace

AtMostOnce::AtMostOnce(base::NodeId self, base::Incarnation incarnation,
                       const AtMostOnceLimits& limits, base::TimePoint now,
                       base::Duration wall_time)
    : self_(self),
      incarnation_(incarnation),
      limits_(limits),
      records_(limits.window, limits.record_capacity),
      unix_epoch_(now - wall_time),
      whole_since_(now) {}

// --- The table, and what follows from its changes ---

AtMostOnceActions AtMostOnce::SetTable(const std::shared_ptr<const routing::BucketTable>& table,
                                       base::TimePoint confirmed_at, base::TimePoint now) {
  AtMostOnceActions actions;
  const base::TimePoint unchanged_until = confirmed_at_;
  confirmed_at_ = std::max(confirmed_at_, confirmed_at);
  const bool newer = table_ == nullptr || table->version > table_->version;
  if (!newer || table->buckets.empty()) {
    return actions;
  }
  const std::shared_ptr<const routing::BucketTable> before = table_;
  table_ = table;
  acknowledged_.resize(table->buckets.size());
  for (std::size_t index = 0; index < table->buckets.size(); ++index) {
    acknowledged_[index] = std::max(acknowledged_[index], table->buckets[index].version);
  }
  if (before == nullptr) {
    // What happened before isn't known here: unless an older agent tells, all before is forgotten,
    // and a loss soon after counts as the second one.
    whole_since_ = now + limits_.freshness;
    last_loss_at_ = now;
  } else {
    NoteLosses(*before, unchanged_until, now);
  }
  StartSettlements(now, actions);
  RestoreCopies(now, actions);
  for (auto& [id, pending] : pending_) {
    if (pending.phase != Phase::kRunning) {
      pending.resend_at = now;
    }
  }
  return actions;
}

// The table was confirmed at `unchanged_until`: what was lost since may have been lost right after.
void AtMostOnce::NoteLosses(const routing::BucketTable& before, base::TimePoint unchanged_until,
                            base::TimePoint now) {
  for (const routing::AgentEntry& agent : before.agents) {
    const routing::AgentEntry* const present = table_->FindAgent(agent.node);
    const bool lost = present == nullptr || !SameLife(*present, agent);
    if (!lost) {
      continue;
    }
    const bool second = limits_.mechanisms.forget_after_second_loss && last_loss_at_.has_value() &&
                        unchanged_until - *last_loss_at_ < limits_.restore_time;
    if (second) {
      // A lost agent may go on granting until its table is no longer fresh.
      whole_since_ = std::max(whole_since_, now + limits_.freshness);
      inherited_whole_since_ =
          std::max(inherited_whole_since_.value_or(whole_since_), whole_since_);
    }
    last_loss_at_ = now;
    ForgetHolder(agent.node);
  }
}

// What the lost life of the node held is gone, also when a new life of it is there already.
void AtMostOnce::ForgetHolder(base::NodeId lost) {
  records_.ForEach([&](ExecutionRecord& record) {
    if (record.second_holder == lost) {
      record.second_holder = base::NodeId();
    }
  });
  absl::erase_if(restorations_, [&](const auto& entry) { return entry.second.holder == lost; });
}

void AtMostOnce::StartSettlements(base::TimePoint now, AtMostOnceActions& actions) {
  for (std::size_t index = 0; index < table_->buckets.size(); ++index) {
    const base::BucketIndex bucket(static_cast<std::uint16_t>(index));
    const routing::Bucket& entry = table_->buckets[index];
    if (entry.owner != self_) {
      settlements_.erase(bucket);
      settled_.erase(bucket);
      continue;
    }
    const auto settled = settled_.find(bucket);
    if (settled != settled_.end() && settled->second == entry.version) {
      continue;
    }
    settled_.erase(bucket);
    Settlement settlement{entry.version, {}, now};
    for (const routing::AgentEntry& agent : table_->agents) {
      if (agent.node != self_ && limits_.mechanisms.collect_before_deciding) {
        settlement.cursors[agent.node] = KeyDigest{};
      }
    }
    settlements_[bucket] = settlement;
    RequestCollection(bucket, settlements_[bucket], now, actions);
    CompleteSettlement(bucket);
  }
}

void AtMostOnce::RequestCollection(base::BucketIndex bucket, Settlement& settlement,
                                   base::TimePoint now, AtMostOnceActions& actions) {
  settlement.resend_at = now + limits_.resend_interval;
  for (auto cursor = settlement.cursors.begin(); cursor != settlement.cursors.end();) {
    if (!IsLive(cursor->first)) {
      settlement.cursors.erase(cursor++);
      continue;
    }
    OutgoingMessage outgoing{cursor->first, {}};
    proto::CollectRequest* const request = outgoing.message.mutable_collect_request();
    request->set_bucket(bucket.value());
    EncodeVersion(settlement.version, request->mutable_version());
    EncodeVersion(table_->version, request->mutable_table_version());
    EncodeKey(cursor->second, request->mutable_after());
    actions.send.push_back(std::move(outgoing));
    ++cursor;
  }
}

void AtMostOnce::CompleteSettlement(base::BucketIndex bucket) {
  const auto found = settlements_.find(bucket);
  if (found == settlements_.end() || !found->second.cursors.empty()) {
    return;
  }
  settled_[bucket] = found->second.version;
  settlements_.erase(found);
  TakeOverMemory();
}

void AtMostOnce::TakeOverMemory() {
  if (!memory_known_) {
    whole_since_ = inherited_whole_since_.value_or(whole_since_);
    memory_known_ = true;
  } else if (inherited_whole_since_) {
    whole_since_ = std::max(whole_since_, *inherited_whole_since_);
  }
}

void AtMostOnce::RestoreCopies(base::TimePoint now, AtMostOnceActions& actions) {
  if (!limits_.mechanisms.restore_copies) {
    return;
  }
  const std::vector<ExecutionRecord> single = records_.Select([&](const ExecutionRecord& record) {
    return EntryOf(BucketOf(record.key)).owner == self_ && !HasSecondCopy(record);
  });
  for (const ExecutionRecord& record : single) {
    const std::optional<base::NodeId> holder = ChooseCopyHolder(record.key);
    if (holder) {
      Restoration& restoration = restorations_[record.key];
      restoration.holder = *holder;
      SendRestoration(record.key, restoration, now, actions);
    }
  }
}

void AtMostOnce::SendRestoration(const KeyDigest& key, Restoration& restoration,
                                 base::TimePoint now, AtMostOnceActions& actions) {
  restoration.resend_at = now + limits_.resend_interval;
  const ExecutionRecord* const record = records_.Find(key);
  if (record == nullptr) {
    return;
  }
  OutgoingMessage outgoing{restoration.holder, {}};
  proto::CopyRequest* const request = outgoing.message.mutable_copy_request();
  EncodeRecord(*record, now, request->mutable_record());
  EncodeVersion(EntryOf(BucketOf(key)).version, request->mutable_version());
  actions.send.push_back(std::move(outgoing));
}

// --- Small questions ---

base::BucketIndex AtMostOnce::BucketOf(const KeyDigest& key) const {
  return table_->BucketOf(key.low);
}

const routing::Bucket& AtMostOnce::EntryOf(base::BucketIndex bucket) const {
  return table_->buckets[bucket.value()];
}

bool AtMostOnce::IsLive(base::NodeId node) const { return table_->FindAgent(node) != nullptr; }

bool AtMostOnce::IsLiveLife(base::NodeId node, base::Incarnation incarnation) const {
  const routing::AgentEntry* const agent = table_->FindAgent(node);
  return agent != nullptr && agent->incarnation == incarnation;
}

bool AtMostOnce::HasSecondCopy(const ExecutionRecord& record) const {
  const bool executor_holds =
      record.grant.executor != self_ && IsLiveLife(record.grant.executor, record.grant.incarnation);
  return executor_holds || (record.second_holder != base::NodeId() && IsLive(record.second_holder));
}

bool AtMostOnce::IsOwner(base::BucketIndex bucket, base::TimePoint now) const {
  const routing::Bucket& entry = EntryOf(bucket);
  const bool newest = acknowledged_[bucket.value()] == entry.version;
  const bool fresh = now - confirmed_at_ < limits_.freshness;
  return entry.owner == self_ && newest && fresh;
}

bool AtMostOnce::IsRestoring() const { return !settlements_.empty() || !restorations_.empty(); }

bool AtMostOnce::IsSettledOwner(base::BucketIndex bucket, base::TimePoint now) const {
  if (table_ == nullptr || !IsOwner(bucket, now)) {
    return false;
  }
  const auto settled = settled_.find(bucket);
  return settled != settled_.end() && settled->second == EntryOf(bucket).version;
}

// Returns false when a newer version is known; otherwise notes that this one is.
bool AtMostOnce::Acknowledge(base::BucketIndex bucket, const routing::TableVersion& version) {
  routing::TableVersion& known = acknowledged_[bucket.value()];
  if (version < known) {
    return false;
  }
  known = version;
  return true;
}

bool AtMostOnce::MayBeForgotten(const std::optional<base::Duration>& key_created_at,
                                base::TimePoint now) const {
  // A key without a usable time may be as old as anything that is remembered.
  base::TimePoint created_at = now - limits_.window;
  if (key_created_at && unix_epoch_ + *key_created_at <= now + limits_.clock_margin) {
    created_at = unix_epoch_ + *key_created_at;
    if (now - created_at > limits_.window) {
      return true;
    }
    created_at -= limits_.clock_margin;
  }
  return created_at < whole_since_;
}

// The copy goes to the best of the others in rendezvous order of the key, which spreads them
// evenly.
std::optional<base::NodeId> AtMostOnce::ChooseCopyHolder(const KeyDigest& key) const {
  std::optional<base::NodeId> best;
  std::uint64_t best_weight = 0;
  for (const routing::AgentEntry& agent : table_->agents) {
    const std::uint64_t weight = base::HashPair(agent.node.value(), key.high);
    if (agent.node != self_ && (!best || weight > best_weight)) {
      best = agent.node;
      best_weight = weight;
    }
  }
  return best;
}

AtMostOnce::Pending* AtMostOnce::FindPending(const GrantId& grant) {
  if (grant.executor != self_ || grant.incarnation != incarnation_) {
    return nullptr;
  }
  const auto found = by_grant_.find(grant.number);
  return found == by_grant_.end() ? nullptr : &pending_.at(found->second);
}

void AtMostOnce::Forget(RequestId id) {
  const auto found = pending_.find(id);
  if (found != pending_.end()) {
    by_grant_.erase(found->second.grant.number);
    pending_.erase(found);
  }
}

// --- Requests of this agent ---

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
  for (auto& [bucket, settlement] : settlements_) {
    if (now >= settlement.resend_at) {
      RequestCollection(bucket, settlement, now, actions);
    }
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
  ExecutionRecord wanted;
  wanted.key = pending.request.key;
  wanted.fingerprint = pending.request.fingerprint;
  wanted.grant = pending.grant;
  wanted.first_recorded_at = now;
  const proto::Verdict verdict = Decide(wanted, pending.request.key_created_at, now);
  if (verdict == proto::RUN) {
    AskForCopy(pending, now, actions);
    return;
  }
  const ExecutionRecord* const known = records_.Find(wanted.key);
  if (known != nullptr) {
    RemindExecutor(*known, now, actions);
  }
  End(pending.request.id, known != nullptr ? *known : wanted, verdict, actions);
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

// --- The owner's decision ---

proto::Verdict AtMostOnce::Decide(const ExecutionRecord& wanted,
                                  const std::optional<base::Duration>& key_created_at,
                                  base::TimePoint now) {
  const ExecutionRecord* const known = records_.Find(wanted.key);
  if (known == nullptr) {
    if (MayBeForgotten(key_created_at, now)) {
      return proto::FORGOTTEN;
    }
    return records_.Put(wanted) ? proto::RUN : proto::TABLE_FULL;
  }
  if (known->fingerprint != wanted.fingerprint) {
    return proto::REUSED;
  }
  if (known->grant == wanted.grant && known->state == ExecutionState::kGranted) {
    return proto::RUN;
  }
  if (known->state != ExecutionState::kNotRun) {
    return proto::KNOWN;
  }
  if (MayBeForgotten(key_created_at, now)) {
    return proto::FORGOTTEN;  // a later grant than the one that didn't run may be lost
  }
  records_.Put(wanted);
  return proto::RUN;
}

void AtMostOnce::OnPermitRequest(base::NodeId sender, const proto::PermitRequest& message,
                                 base::TimePoint now, AtMostOnceActions& actions) {
  ExecutionRecord wanted;
  wanted.key = DecodeKey(message.key());
  wanted.fingerprint = message.fingerprint();
  wanted.grant = {sender, base::Incarnation(message.executor_incarnation()), message.grant()};
  wanted.first_recorded_at = now;
  const base::BucketIndex bucket = BucketOf(wanted.key);

  OutgoingMessage outgoing{sender, {}};
  proto::PermitReply* const reply = outgoing.message.mutable_permit_reply();
  EncodeRecord(wanted, now, reply->mutable_asked());
  EncodeVersion(EntryOf(bucket).version, reply->mutable_version());
  Acknowledge(bucket, DecodeVersion(message.version()));
  if (!IsOwner(bucket, now) || !IsLiveLife(sender, wanted.grant.incarnation)) {
    reply->set_verdict(proto::NOT_OWNER);
  } else if (!IsSettledOwner(bucket, now)) {
    reply->set_verdict(proto::UNSETTLED);
  } else {
    std::optional<base::Duration> key_created_at;
    if (message.has_key_created_milliseconds()) {
      key_created_at = std::chrono::milliseconds(
          std::min(message.key_created_milliseconds(), kLatestKeyMilliseconds));
    }
    reply->set_verdict(Decide(wanted, key_created_at, now));
    if (reply->verdict() == proto::KNOWN) {
      const ExecutionRecord& known = *records_.Find(wanted.key);
      EncodeRecord(known, now, reply->mutable_known());
      RemindExecutor(known, now, actions);
    }
  }
  actions.send.push_back(std::move(outgoing));
}

// Asks an executor that has not said how a grant ended; its answer is a Finished message.
void AtMostOnce::RemindExecutor(const ExecutionRecord& record, base::TimePoint now,
                                AtMostOnceActions& actions) {
  const bool unfinished = record.state == ExecutionState::kGranted;
  if (!unfinished || record.grant.executor == self_ || !IsLive(record.grant.executor)) {
    return;
  }
  OutgoingMessage outgoing{record.grant.executor, {}};
  proto::PermitReply* const reminder = outgoing.message.mutable_permit_reply();
  EncodeRecord(record, now, reminder->mutable_asked());
  EncodeVersion(EntryOf(BucketOf(record.key)).version, reminder->mutable_version());
  reminder->set_verdict(proto::RUN);
  actions.send.push_back(std::move(outgoing));
}

// --- The executor's side ---

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
    return;  // decided under a version that we have promised not to take part in
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

// A permit for a grant that isn't waiting here: it ended, or was given up, or is another life's.
void AtMostOnce::OnPermitForUnknownGrant(base::NodeId sender, const ExecutionRecord& record,
                                         base::TimePoint now, AtMostOnceActions& actions) {
  if (record.grant.executor != self_ || record.grant.incarnation != incarnation_) {
    return;
  }
  ExecutionRecord answer = record;
  const ExecutionRecord* const known = records_.Find(record.key);
  const bool ended_here = known != nullptr && known->grant == record.grant;
  // An old grant may have run and its record have been forgotten since.
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
      EndWithKnown(id, known, actions);
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

void AtMostOnce::EndWithKnown(RequestId id, const ExecutionRecord& known,
                              AtMostOnceActions& actions) {
  if (known.state == ExecutionState::kAnswered) {
    actions.repeated.push_back({id, known.answer});
    Forget(id);
    return;
  }
  const bool executor_lives = IsLiveLife(known.grant.executor, known.grant.incarnation);
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

// Takes back a request that has not been handed out; whoever recorded its grant is told.
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

// --- Copies and collection ---

void AtMostOnce::OnCopyRequest(base::NodeId sender, const proto::CopyRequest& message,
                               base::TimePoint now, AtMostOnceActions& actions) {
  ExecutionRecord record = DecodeRecord(message.record(), now);
  record.second_holder = sender;
  OutgoingMessage outgoing{sender, {}};
  proto::CopyReply* const reply = outgoing.message.mutable_copy_reply();
  *reply->mutable_record() = message.record();
  *reply->mutable_version() = message.version();
  reply->set_holder_incarnation(incarnation_.value());
  const bool current = Acknowledge(BucketOf(record.key), DecodeVersion(message.version()));
  if (current) {
    MergeRecord(record, now);
  }
  reply->set_accepted(current && records_.Find(record.key) != nullptr);
  actions.send.push_back(std::move(outgoing));
}

void AtMostOnce::OnCopyReply(base::NodeId sender, const proto::CopyReply& message,
                             AtMostOnceActions& actions) {
  if (!IsLiveLife(sender, base::Incarnation(message.holder_incarnation()))) {
    return;
  }
  const KeyDigest key = DecodeKey(message.record().key());
  const auto restoration = restorations_.find(key);
  if (restoration != restorations_.end() && restoration->second.holder == sender) {
    ExecutionRecord* const record = records_.Find(key);
    if (message.accepted() && record != nullptr) {
      record->second_holder = sender;
    }
    restorations_.erase(restoration);
  }
  const GrantId grant{base::NodeId(message.record().executor()),
                      base::Incarnation(message.record().executor_incarnation()),
                      message.record().grant()};
  Pending* const pending = FindPending(grant);
  const bool awaited = pending != nullptr && pending->phase == Phase::kAwaitingCopy &&
                       pending->copy_holder == sender;
  const bool still_owner = DecodeVersion(message.version()) == acknowledged_[BucketOf(key).value()];
  if (awaited && still_owner && message.accepted()) {
    Run(*pending, actions);
  }
}

void AtMostOnce::OnCollectRequest(base::NodeId sender, const proto::CollectRequest& message,
                                  base::TimePoint now, AtMostOnceActions& actions) {
  if (message.bucket() >= acknowledged_.size()) {
    return;
  }
  const base::BucketIndex bucket(static_cast<std::uint16_t>(message.bucket()));
  const bool table_known = DecodeVersion(message.table_version()) <= table_->version ||
                           !limits_.mechanisms.answer_only_with_table;
  if (!table_known || !Acknowledge(bucket, DecodeVersion(message.version()))) {
    return;  // not yet, or the asker isn't the newest owner
  }
  const KeyDigest after = DecodeKey(message.after());
  std::vector<ExecutionRecord> records = records_.Select([&](const ExecutionRecord& record) {
    return BucketOf(record.key) == bucket && record.key > after;
  });
  std::sort(records.begin(), records.end(),
            [](const auto& left, const auto& right) { return left.key < right.key; });

  OutgoingMessage outgoing{sender, {}};
  proto::CollectReply* const reply = outgoing.message.mutable_collect_reply();
  reply->set_bucket(message.bucket());
  *reply->mutable_version() = message.version();
  *reply->mutable_after() = message.after();
  reply->set_more(records.size() > kRecordsPerReply);
  records.resize(std::min(records.size(), kRecordsPerReply));
  for (const ExecutionRecord& record : records) {
    EncodeRecord(record, now, reply->add_records());
  }
  if (memory_known_) {
    const std::int64_t whole_for = ToMilliseconds(now - whole_since_).count();
    reply->set_whole_for_milliseconds(
        static_cast<std::uint64_t>(std::max<std::int64_t>(whole_for, 0)));
  }
  actions.send.push_back(std::move(outgoing));
}

void AtMostOnce::OnCollectReply(base::NodeId sender, const proto::CollectReply& message,
                                base::TimePoint now, AtMostOnceActions& actions) {
  const auto found =
      settlements_.find(base::BucketIndex(static_cast<std::uint16_t>(message.bucket())));
  if (found == settlements_.end() || found->second.version != DecodeVersion(message.version())) {
    return;
  }
  const auto cursor = found->second.cursors.find(sender);
  if (cursor == found->second.cursors.end() || cursor->second != DecodeKey(message.after())) {
    return;
  }
  for (const proto::Record& encoded : message.records()) {
    ExecutionRecord record = DecodeRecord(encoded, now);
    record.second_holder = sender;
    MergeRecord(record, now);
    cursor->second = std::max(cursor->second, record.key);
  }
  if (message.has_whole_for_milliseconds()) {
    const base::TimePoint whole_since =
        now - std::chrono::milliseconds(message.whole_for_milliseconds());
    inherited_whole_since_ = std::max(inherited_whole_since_.value_or(whole_since), whole_since);
  }
  if (message.more() && message.records_size() > 0) {
    RequestCollection(found->first, found->second, now, actions);
    return;
  }
  found->second.cursors.erase(cursor);
  CompleteSettlement(found->first);
}

// Takes in what another agent knows. Between two grants of a key the one that says more is kept: an
// answer, then "can't tell", then a grant, then "not run".
void AtMostOnce::MergeRecord(const ExecutionRecord& record, base::TimePoint now) {
  const auto weight = [](ExecutionState state) {
    switch (state) {
      case ExecutionState::kAnswered:
        return 3;
      case ExecutionState::kUnknown:
        return 2;
      case ExecutionState::kGranted:
        return 1;
      case ExecutionState::kNotRun:
        return 0;
    }
    return 2;
  };
  const ExecutionRecord* const known = records_.Find(record.key);
  if (known == nullptr) {
    if (!records_.Put(record)) {
      whole_since_ = std::max(whole_since_, now);  // forgotten, and known to be
    }
    return;
  }
  const bool ends_known_grant =
      known->grant == record.grant && known->state == ExecutionState::kGranted;
  if (ends_known_grant || weight(record.state) > weight(known->state)) {
    records_.Put(record);
  }
}

void AtMostOnce::OnFinished(const proto::Finished& message, base::TimePoint now) {
  const ExecutionRecord ended = DecodeRecord(message.record(), now);
  ExecutionRecord* const known = records_.Find(ended.key);
  const bool awaited =
      known != nullptr && known->grant == ended.grant && known->state == ExecutionState::kGranted;
  if (awaited) {
    known->state = ended.state;
    known->answer = ended.answer;
  }
}

AtMostOnceActions AtMostOnce::OnMessage(base::NodeId sender,
                                        const proto::AtMostOnceMessage& message,
                                        base::TimePoint now) {
  AtMostOnceActions actions;
  if (table_ == nullptr) {
    return actions;
  }
  switch (message.body_case()) {
    case proto::AtMostOnceMessage::kPermitRequest:
      OnPermitRequest(sender, message.permit_request(), now, actions);
      break;
    case proto::AtMostOnceMessage::kPermitReply:
      OnPermitReply(sender, message.permit_reply(), now, actions);
      break;
    case proto::AtMostOnceMessage::kCopyRequest:
      OnCopyRequest(sender, message.copy_request(), now, actions);
      break;
    case proto::AtMostOnceMessage::kCopyReply:
      OnCopyReply(sender, message.copy_reply(), actions);
      break;
    case proto::AtMostOnceMessage::kCollectRequest:
      OnCollectRequest(sender, message.collect_request(), now, actions);
      break;
    case proto::AtMostOnceMessage::kCollectReply:
      OnCollectReply(sender, message.collect_reply(), now, actions);
      break;
    case proto::AtMostOnceMessage::kFinished:
      OnFinished(message.finished(), now);
      break;
    case proto::AtMostOnceMessage::BODY_NOT_SET:
      break;
  }
  return actions;
}

}  // namespace gaugevalve::requests
