// Copies of records, and the collection of records by the new owner of a bucket.
#include <algorithm>

#include "bucket_collections.h"
#include "gaugevalve/requests/at_most_once.h"
#include "history_completeness.h"
#include "message_codec.h"

namespace gaugevalve::requests {
namespace {

// Records per collect reply, so that a reply fits into the bandwidth budget for control messages.
constexpr std::size_t kRecordsPerReply = 16;

}  // namespace

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
  const ExecutionRecord* const held = records_.Find(record.key);
  const bool holds =
      held != nullptr && (held->grant == record.grant || held->state == ExecutionState::kUnknown);
  reply->set_accepted(current && holds);
  actions.send.push_back(std::move(outgoing));
}

void AtMostOnce::OnCopyReply(base::NodeId sender, const proto::CopyReply& message,
                             AtMostOnceActions& actions) {
  if (!IsLiveIncarnation(sender, base::Incarnation(message.holder_incarnation()))) {
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
    return;  // the table here is too old, or the sender is not the newest owner
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
  if (const std::optional<base::TimePoint> complete_since = completeness_->CompleteSince()) {
    const std::int64_t complete_for =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - *complete_since).count();
    reply->set_whole_for_milliseconds(
        static_cast<std::uint64_t>(std::max<std::int64_t>(complete_for, 0)));
  }
  actions.send.push_back(std::move(outgoing));
}

void AtMostOnce::OnCollectReply(base::NodeId sender, const proto::CollectReply& message,
                                base::TimePoint now, AtMostOnceActions& actions) {
  CollectionPage page;
  page.sender = sender;
  page.bucket = base::BucketIndex(static_cast<std::uint16_t>(message.bucket()));
  page.version = DecodeVersion(message.version());
  page.after = DecodeKey(message.after());
  page.last_key = page.after;
  page.more = message.more();
  for (const proto::Record& record : message.records()) {
    page.last_key = std::max(page.last_key, DecodeKey(record.key()));
  }
  const CollectionProgress progress = collections_->AddPage(page);
  if (progress == CollectionProgress::kUnexpected) {
    return;
  }
  for (const proto::Record& encoded : message.records()) {
    ExecutionRecord record = DecodeRecord(encoded, now);
    record.second_holder = sender;
    MergeRecord(record, now);
  }
  if (message.has_whole_for_milliseconds()) {
    completeness_->NoteReported(now - std::chrono::milliseconds(message.whole_for_milliseconds()));
  }
  if (progress == CollectionProgress::kSettled) {
    completeness_->AdoptReported();
  }
  SendCollectRequests(now, actions);
}

// Merges a record from another agent. If two grants may have run and it is not known which one is
// later, the outcome is unknown; no late message can change that to "not run".
void AtMostOnce::MergeRecord(const ExecutionRecord& record, base::TimePoint now) {
  ExecutionRecord* const known = records_.Find(record.key);
  if (known == nullptr) {
    if (!records_.Put(record)) {
      completeness_->NoteDroppedRecord(now);
    }
    return;
  }
  const bool known_ended = known->state != ExecutionState::kGranted;
  if (known->grant == record.grant) {
    if (!known_ended) {
      records_.Put(record);
    }
    return;
  }
  const bool same_incarnation = known->grant.executor == record.grant.executor &&
                                known->grant.incarnation == record.grant.incarnation;
  const bool known_ran = known->state == ExecutionState::kAnswered;
  const bool later = same_incarnation && record.grant.number > known->grant.number;
  const bool earlier = same_incarnation && !later;
  if (known_ran || earlier || record.state == ExecutionState::kNotRun) {
    return;
  }
  const bool known_did_not_run = known->state == ExecutionState::kNotRun;
  if (later || known_did_not_run || record.state == ExecutionState::kAnswered) {
    records_.Put(record);
  } else {
    known->state = ExecutionState::kUnknown;
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

}  // namespace gaugevalve::requests
