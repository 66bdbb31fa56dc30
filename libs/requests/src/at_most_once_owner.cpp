// Owner role: decisions on keys.
#include <algorithm>

#include "gaugevalve/requests/at_most_once.h"
#include "message_codec.h"

namespace gaugevalve::requests {
namespace {

// The time in a key has 48 bits (RFC 9562); a larger number is malformed.
constexpr std::uint64_t kMaxKeyTimeMilliseconds = (std::uint64_t{1} << 48U) - 1;

}  // namespace

proto::Verdict AtMostOnce::Decide(const ExecutionRecord& requested,
                                  const std::optional<base::Duration>& key_created_at,
                                  base::TimePoint now) {
  const ExecutionRecord* const known = records_.Find(requested.key);
  if (known == nullptr) {
    if (MayBeForgotten(key_created_at, now)) {
      return proto::FORGOTTEN;
    }
    return records_.Put(requested) ? proto::RUN : proto::TABLE_FULL;
  }
  if (known->fingerprint != requested.fingerprint) {
    return proto::REUSED;
  }
  if (known->grant == requested.grant && known->state == ExecutionState::kGranted) {
    return proto::RUN;
  }
  if (known->state != ExecutionState::kNotRun) {
    return proto::KNOWN;
  }
  if (MayBeForgotten(key_created_at, now)) {
    return proto::FORGOTTEN;  // the record of a later grant that did run may be lost
  }
  records_.Put(requested);
  return proto::RUN;
}

void AtMostOnce::OnPermitRequest(base::NodeId sender, const proto::PermitRequest& message,
                                 base::TimePoint now, AtMostOnceActions& actions) {
  ExecutionRecord requested;
  requested.key = DecodeKey(message.key());
  requested.fingerprint = message.fingerprint();
  requested.grant = {sender, base::Incarnation(message.executor_incarnation()), message.grant()};
  requested.first_recorded_at = now;
  const base::BucketIndex bucket = BucketOf(requested.key);

  OutgoingMessage outgoing{sender, {}};
  proto::PermitReply* const reply = outgoing.message.mutable_permit_reply();
  EncodeRecord(requested, now, reply->mutable_asked());
  EncodeVersion(EntryOf(bucket).version, reply->mutable_version());
  Acknowledge(bucket, DecodeVersion(message.version()));
  if (!IsOwner(bucket, now) || !IsLiveIncarnation(sender, requested.grant.incarnation)) {
    reply->set_verdict(proto::NOT_OWNER);
  } else if (!IsSettledOwner(bucket, now)) {
    reply->set_verdict(proto::UNSETTLED);
  } else {
    std::optional<base::Duration> key_created_at;
    if (message.has_key_created_milliseconds()) {
      key_created_at = std::chrono::milliseconds(
          std::min(message.key_created_milliseconds(), kMaxKeyTimeMilliseconds));
    }
    reply->set_verdict(Decide(requested, key_created_at, now));
    if (reply->verdict() == proto::KNOWN) {
      const ExecutionRecord& known = *records_.Find(requested.key);
      EncodeRecord(known, now, reply->mutable_known());
      QueryExecutor(known, now, actions);
    }
  }
  actions.send.push_back(std::move(outgoing));
}

// Asks an executor that has not reported the end of a grant. It answers with a Finished message.
void AtMostOnce::QueryExecutor(const ExecutionRecord& record, base::TimePoint now,
                               AtMostOnceActions& actions) {
  const bool unfinished = record.state == ExecutionState::kGranted;
  if (!unfinished || record.grant.executor == self_ || !IsLive(record.grant.executor)) {
    return;
  }
  OutgoingMessage outgoing{record.grant.executor, {}};
  proto::PermitReply* const query = outgoing.message.mutable_permit_reply();
  EncodeRecord(record, now, query->mutable_asked());
  EncodeVersion(EntryOf(BucketOf(record.key)).version, query->mutable_version());
  query->set_verdict(proto::RUN);
  actions.send.push_back(std::move(outgoing));
}

}  // namespace gaugevalve::requests
