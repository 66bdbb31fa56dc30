// Keeps a keyed request to one execution in a whole service.
//
// The owner of the bucket that a key falls into (routing::BucketTable) decides who runs it. Before
// a request runs, two agents hold its record: the owner and the executor or, where these are one,
// the owner and another agent. An agent that becomes owner first collects what every other agent of
// the table knows of the bucket. Others answer under a table at least as new, so one that has
// answered takes part in no grant under an older version. So any earlier grant is either among what
// was collected, or is refused by its second participant. A former owner that wakes up can't grant
// alone.
//
// One lost agent loses no record. When a second is lost before the copies are restored, what was
// recorded before is taken as forgotten: a key that may have been used then is answered "outcome
// unknown", never run. A key that carries its time (UUID version 7) tells that it is newer.
//
// What it can't promise: copies that can't be restored within `restore_time` (messages between live
// agents lost all that time, or a frozen agent left in the table) are not counted as a loss by
// others; clocks further apart than `clock_margin` defeat the time in a key;
// a key without a time that comes again after the window counts as new; a service with one agent
// forgets with it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/requests/admission_queue.h"
#include "gaugevalve/requests/execution_record_table.h"
#include "gaugevalve/requests/request_outcome.h"
#include "gaugevalve/requests/requests.pb.h"
#include "gaugevalve/routing/bucket_table.h"

namespace gaugevalve::requests {

class BucketCollections;
class HistoryCompleteness;

// The mechanisms of the guarantee. All are on; a proof switches one off to show that it would
// notice.
struct AtMostOnceMechanisms {
  bool copy_before_running = true;      // an owner that executes itself waits for a second holder
  bool collect_before_deciding = true;  // a new owner asks all others first
  bool answer_only_with_table = true;   // others answer that under a table at least as new
  bool forget_after_second_loss = true;
  bool restore_copies = true;
};

// Times and bounds of the at-most-once guarantee.
struct AtMostOnceLimits {
  base::Duration window{600'000'000};    // how long a key is remembered
  std::size_t record_capacity = 40'000;  // keys remembered; a new one is refused when full
  std::size_t pending_capacity = 4'096;  // requests awaiting a grant; more are refused
  base::Duration freshness{3'000'000};   // an owner grants this long after its table was confirmed
  base::Duration restore_time{30'000'000};  // in which copies are restored after a loss
  base::Duration resend_interval{100'000};  // between repeats of an unanswered message
  AtMostOnceMechanisms mechanisms;
  base::Duration clock_margin{1'000'000};  // how far clocks may be apart
};

// A keyed request of this agent that wants to run.
struct KeyedRequest {
  RequestId id;
  KeyDigest key;
  std::uint64_t fingerprint = 0;
  std::optional<base::Duration> key_created_at;  // since the Unix epoch, by the time in the key
  base::TimePoint deadline;
};

// A message for another agent of the service.
struct OutgoingMessage {
  base::NodeId destination;
  proto::AtMostOnceMessage message;
};

// A request whose answer is known from an earlier execution.
struct RepeatedRequest {
  RequestId id;
  StoredAnswer answer;
};

// What is to be done after one event.
struct AtMostOnceActions {
  std::vector<OutgoingMessage> send;
  std::vector<RequestId> run;  // each is handed out once; Finish() must follow
  std::vector<RefusedRequest> refused;
  std::vector<RepeatedRequest> repeated;
};

// One agent's part in the protocol. Messages may be lost, doubled, delayed and reordered. Not
// thread-safe; the owner passes in the time.
class AtMostOnce {
 public:
  // `self` is this life of this agent; `now` its start, which is `wall_time` since the Unix epoch.
  // Keys' times are compared on every agent's own clock, so that a message's delay can't make a key
  // look younger; `clock_margin` bounds how far the clocks of callers and agents are apart.
  AtMostOnce(base::NodeId self, base::Incarnation incarnation, const AtMostOnceLimits& limits,
             base::TimePoint now, base::Duration wall_time);
  ~AtMostOnce();
  AtMostOnce(AtMostOnce&&) noexcept;
  AtMostOnce& operator=(AtMostOnce&&) = delete;

  // Takes a newer table of the service; older ones are passed over. `confirmed_at` is when this
  // node sent the last report that the planner acknowledged.
  AtMostOnceActions SetTable(const std::shared_ptr<const routing::BucketTable>& table,
                             base::TimePoint confirmed_at, base::TimePoint now);

  // A keyed request wants to run. Its fate follows in these or later actions.
  AtMostOnceActions Begin(const KeyedRequest& request, base::TimePoint now);

  // A request that was handed out to run ended. `state` must not be kGranted.
  AtMostOnceActions Finish(RequestId id, ExecutionState state, const StoredAnswer& answer,
                           base::TimePoint now);

  // The caller gave up a request that isn't handed out yet. Does nothing for another.
  AtMostOnceActions Abandon(RequestId id, base::TimePoint now);

  // Takes a message of another agent; malformed ones are passed over.
  AtMostOnceActions OnMessage(base::NodeId sender, const proto::AtMostOnceMessage& message,
                              base::TimePoint now);

  // Resends, gives up and forgets as due. Call about every resend_interval.
  AtMostOnceActions OnTimer(base::TimePoint now);

  // Returns whether this agent may decide on keys of the bucket now.
  bool IsSettledOwner(base::BucketIndex bucket, base::TimePoint now) const;

  // Returns whether a key made now would be known as new here.
  bool RemembersNewKeys(base::TimePoint now) const;

  // Returns whether this agent still collects records or restores copies: until it doesn't, a loss
  // may be one too many.
  bool IsRestoring() const;

  std::size_t RecordCount() const { return records_.Size(); }

 private:
  enum class Phase : std::uint8_t { kAwaitingPermit, kAwaitingCopy, kRunning };

  // A request between Begin() and its end.
  struct Pending {
    KeyedRequest request;
    GrantId grant;
    Phase phase = Phase::kAwaitingPermit;
    base::NodeId copy_holder;  // with kAwaitingCopy
    base::TimePoint resend_at{};
  };

  // A copy that is being restored after its holder was lost.
  struct Restoration {
    base::NodeId holder;
    base::TimePoint resend_at{};
  };

  base::BucketIndex BucketOf(const KeyDigest& key) const;
  const routing::Bucket& EntryOf(base::BucketIndex bucket) const;
  bool IsLive(base::NodeId node) const;
  bool IsLiveIncarnation(base::NodeId node, base::Incarnation incarnation) const;
  bool HasSecondCopy(const ExecutionRecord& record) const;
  bool IsOwner(base::BucketIndex bucket, base::TimePoint now) const;
  bool Acknowledge(base::BucketIndex bucket, const routing::TableVersion& version);
  bool MayBeForgotten(const std::optional<base::Duration>& key_created_at,
                      base::TimePoint now) const;
  std::optional<base::NodeId> ChooseCopyHolder(const KeyDigest& key) const;

  void RecordLosses(const routing::BucketTable& before, base::TimePoint last_confirmed_at,
                    base::TimePoint now);
  void ClearHolder(base::NodeId lost);
  void RestoreCopies(base::TimePoint now, AtMostOnceActions& actions);
  void SendRestoration(const KeyDigest& key, Restoration& restoration, base::TimePoint now,
                       AtMostOnceActions& actions);
  void StartCollections(base::TimePoint now, AtMostOnceActions& actions);
  void SendCollectRequests(base::TimePoint now, AtMostOnceActions& actions);

  proto::Verdict Decide(const ExecutionRecord& wanted, const std::optional<base::Duration>& key_age,
                        base::TimePoint now);
  void Advance(Pending& pending, base::TimePoint now, AtMostOnceActions& actions);
  void AskOwner(Pending& pending, base::NodeId owner, AtMostOnceActions& actions);
  void DecideLocally(Pending& pending, base::TimePoint now, AtMostOnceActions& actions);
  void AskForCopy(Pending& pending, base::TimePoint now, AtMostOnceActions& actions);
  void Run(Pending& pending, AtMostOnceActions& actions);
  void End(RequestId id, const ExecutionRecord& known, proto::Verdict verdict,
           AtMostOnceActions& actions);
  void EndWithKnownRecord(RequestId id, const ExecutionRecord& known, AtMostOnceActions& actions);
  void Refuse(RequestId id, RequestOutcome outcome, RefusalReason reason,
              AtMostOnceActions& actions);
  void Withdraw(const Pending& pending, base::TimePoint now, AtMostOnceActions& actions);
  void ReportEnd(const ExecutionRecord& record, base::TimePoint now, AtMostOnceActions& actions);
  void MergeRecord(const ExecutionRecord& record, base::TimePoint now);
  Pending* FindPending(const GrantId& grant);
  void Forget(RequestId id);

  void OnPermitRequest(base::NodeId sender, const proto::PermitRequest& message,
                       base::TimePoint now, AtMostOnceActions& actions);
  void QueryExecutor(const ExecutionRecord& record, base::TimePoint now,
                     AtMostOnceActions& actions);
  void OnPermitReply(base::NodeId sender, const proto::PermitReply& message, base::TimePoint now,
                     AtMostOnceActions& actions);
  void OnPermitToRun(Pending& pending, const proto::PermitReply& message, base::TimePoint now,
                     AtMostOnceActions& actions);
  void OnPermitForUnknownGrant(base::NodeId sender, const ExecutionRecord& record,
                               base::TimePoint now, AtMostOnceActions& actions);
  void OnCopyRequest(base::NodeId sender, const proto::CopyRequest& message, base::TimePoint now,
                     AtMostOnceActions& actions);
  void OnCopyReply(base::NodeId sender, const proto::CopyReply& message,
                   AtMostOnceActions& actions);
  void OnCollectRequest(base::NodeId sender, const proto::CollectRequest& message,
                        base::TimePoint now, AtMostOnceActions& actions);
  void OnCollectReply(base::NodeId sender, const proto::CollectReply& message, base::TimePoint now,
                      AtMostOnceActions& actions);
  void OnFinished(const proto::Finished& message, base::TimePoint now);

  base::NodeId self_;
  base::Incarnation incarnation_;
  AtMostOnceLimits limits_;
  std::shared_ptr<const routing::BucketTable> table_;
  base::TimePoint confirmed_at_{};
  std::vector<routing::TableVersion> acknowledged_;  // by bucket
  ExecutionRecordTable records_;
  absl::flat_hash_map<RequestId, Pending> pending_;
  absl::flat_hash_map<std::uint64_t, RequestId> by_grant_;  // the pending ones' grant numbers
  absl::flat_hash_map<KeyDigest, Restoration> restorations_;
  std::unique_ptr<BucketCollections> collections_;
  std::unique_ptr<HistoryCompleteness> completeness_;
  base::TimePoint unix_epoch_;  // on our time line
  std::uint64_t next_grant_ = 1;
};

}  // namespace gaugevalve::requests
