#include "gaugevalve/requests/at_most_once.h"

#include <algorithm>

#include "bucket_collections.h"
#include "gaugevalve/base/hash.h"
#include "history_completeness.h"
#include "message_codec.h"

namespace gaugevalve::requests {
namespace {

bool SameIncarnation(const routing::AgentEntry& left, const routing::AgentEntry& right) {
  return left.node == right.node && left.incarnation == right.incarnation;
}

}  // namespace

AtMostOnce::AtMostOnce(base::NodeId self, base::Incarnation incarnation,
                       const AtMostOnceLimits& limits, base::TimePoint now,
                       base::Duration wall_time)
    : self_(self),
      incarnation_(incarnation),
      limits_(limits),
      records_(limits.window, limits.record_capacity),
      collections_(std::make_unique<BucketCollections>(limits.resend_interval)),
      completeness_(
          std::make_unique<HistoryCompleteness>(limits.restore_time, limits.freshness, now)),
      unix_epoch_(now - wall_time) {}

AtMostOnce::~AtMostOnce() = default;

AtMostOnce::AtMostOnce(AtMostOnce&&) noexcept = default;

// --- Table changes ---

AtMostOnceActions AtMostOnce::SetTable(const std::shared_ptr<const routing::BucketTable>& table,
                                       base::TimePoint confirmed_at, base::TimePoint now) {
  AtMostOnceActions actions;
  const base::TimePoint last_confirmed_at = confirmed_at_;
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
    completeness_->OnFirstTable(now);
  } else {
    RecordLosses(*before, last_confirmed_at, now);
  }
  StartCollections(now, actions);
  RestoreCopies(now, actions);
  for (auto& [id, pending] : pending_) {
    if (pending.phase != Phase::kRunning) {
      pending.resend_at = now;
    }
  }
  return actions;
}

// The table was last confirmed at `last_confirmed_at`. An agent that is missing now may have been
// lost immediately after that time.
void AtMostOnce::RecordLosses(const routing::BucketTable& before, base::TimePoint last_confirmed_at,
                              base::TimePoint now) {
  for (const routing::AgentEntry& agent : before.agents) {
    const routing::AgentEntry* const present = table_->FindAgent(agent.node);
    const bool lost = present == nullptr || !SameIncarnation(*present, agent);
    if (!lost) {
      continue;
    }
    if (limits_.mechanisms.forget_after_second_loss) {
      completeness_->NoteLoss(last_confirmed_at, now);
    }
    ClearHolder(agent.node);
  }
}

// The records that the lost incarnation held are gone, even if a new incarnation of the node is
// already running.
void AtMostOnce::ClearHolder(base::NodeId lost) {
  records_.ForEach([&](ExecutionRecord& record) {
    if (record.second_holder == lost) {
      record.second_holder = base::NodeId();
    }
  });
  absl::erase_if(restorations_, [&](const auto& entry) { return entry.second.holder == lost; });
}

void AtMostOnce::StartCollections(base::TimePoint now, AtMostOnceActions& actions) {
  std::vector<base::NodeId> others;
  for (const routing::AgentEntry& agent : table_->agents) {
    if (agent.node != self_ && limits_.mechanisms.collect_before_deciding) {
      others.push_back(agent.node);
    }
  }
  for (std::size_t index = 0; index < table_->buckets.size(); ++index) {
    const base::BucketIndex bucket(static_cast<std::uint16_t>(index));
    const routing::Bucket& entry = table_->buckets[index];
    if (entry.owner != self_) {
      collections_->Drop(bucket);
    } else if (collections_->Require(bucket, entry.version, others, now)) {
      completeness_->AdoptReported();
    }
  }
  if (collections_->DropAgentsNotIn(others)) {
    completeness_->AdoptReported();
  }
  SendCollectRequests(now, actions);
}

void AtMostOnce::SendCollectRequests(base::TimePoint now, AtMostOnceActions& actions) {
  for (const CollectionQuery& query : collections_->TakeDue(now)) {
    OutgoingMessage outgoing{query.destination, {}};
    proto::CollectRequest* const request = outgoing.message.mutable_collect_request();
    request->set_bucket(query.bucket.value());
    EncodeVersion(query.version, request->mutable_version());
    EncodeVersion(table_->version, request->mutable_table_version());
    EncodeKey(query.after, request->mutable_after());
    actions.send.push_back(std::move(outgoing));
  }
}

void AtMostOnce::RestoreCopies(base::TimePoint now, AtMostOnceActions& actions) {
  if (!limits_.mechanisms.restore_copies) {
    return;
  }
  const std::vector<ExecutionRecord> unreplicated =
      records_.Select([&](const ExecutionRecord& record) {
        return EntryOf(BucketOf(record.key)).owner == self_ && !HasSecondCopy(record);
      });
  for (const ExecutionRecord& record : unreplicated) {
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

// --- Queries ---

base::BucketIndex AtMostOnce::BucketOf(const KeyDigest& key) const {
  return table_->BucketOf(key.low);
}

const routing::Bucket& AtMostOnce::EntryOf(base::BucketIndex bucket) const {
  return table_->buckets[bucket.value()];
}

bool AtMostOnce::IsLive(base::NodeId node) const { return table_->FindAgent(node) != nullptr; }

bool AtMostOnce::IsLiveIncarnation(base::NodeId node, base::Incarnation incarnation) const {
  const routing::AgentEntry* const agent = table_->FindAgent(node);
  return agent != nullptr && agent->incarnation == incarnation;
}

bool AtMostOnce::HasSecondCopy(const ExecutionRecord& record) const {
  const bool executor_holds = record.grant.executor != self_ &&
                              IsLiveIncarnation(record.grant.executor, record.grant.incarnation);
  return executor_holds || (record.second_holder != base::NodeId() && IsLive(record.second_holder));
}

bool AtMostOnce::IsOwner(base::BucketIndex bucket, base::TimePoint now) const {
  const routing::Bucket& entry = EntryOf(bucket);
  const bool newest = acknowledged_[bucket.value()] == entry.version;
  const bool fresh = now - confirmed_at_ < limits_.freshness;
  return entry.owner == self_ && newest && fresh;
}

bool AtMostOnce::RemembersNewKeys(base::TimePoint now) const {
  return table_ != nullptr && !MayBeForgotten(now - unix_epoch_, now);
}

bool AtMostOnce::IsRestoring() const {
  return !collections_->AllSettled() || !restorations_.empty();
}

bool AtMostOnce::IsSettledOwner(base::BucketIndex bucket, base::TimePoint now) const {
  if (table_ == nullptr || !IsOwner(bucket, now)) {
    return false;
  }
  return collections_->IsSettled(bucket, EntryOf(bucket).version);
}

// Returns false if a newer version is known; otherwise stores this version as acknowledged.
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
  // A key without a usable time may be as old as the oldest remembered record.
  base::TimePoint created_at = now - limits_.window;
  if (key_created_at && unix_epoch_ + *key_created_at <= now + limits_.clock_margin) {
    created_at = unix_epoch_ + *key_created_at;
    if (now - created_at > limits_.window) {
      return true;
    }
    created_at -= limits_.clock_margin;
  }
  return completeness_->MayBeForgotten(created_at);
}

// The copy goes to the other agent with the highest rendezvous hash for the key, which distributes
// copies evenly.
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
    case proto::AtMostOnceMessage::kHandOver:
    case proto::AtMostOnceMessage::BODY_NOT_SET:
      break;
  }
  return actions;
}

}  // namespace gaugevalve::requests
