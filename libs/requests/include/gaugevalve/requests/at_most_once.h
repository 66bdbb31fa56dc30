// Ensures that a keyed request is executed at most once in a service.
//
// The owner of the bucket that a key hashes to (routing::BucketTable) decides which agent runs it.
// Before a request runs, two agents hold its record: the owner and the executor or, if these are
// the same agent, the owner and another agent. An agent that becomes owner first collects the
// records of the bucket from every other agent in the table. An agent answers only under a table at
// least as new as the owner's, and once it has answered it takes part in no grant under an older
// version. Any earlier grant is therefore either among the collected records or is refused by its
// second participant. A former owner that resumes after a pause cannot grant alone.
//
// Losing one agent loses no record. If a second agent is lost before the copies are restored, all
// records from before are treated as lost: a key that may have been used before then is answered
// with "outcome unknown" and never run. A key that contains its creation time (UUID version 7)
// shows that it is newer.
//
// Limits of the guarantee:
// - Copies that cannot be restored within `restore_time` (because all messages between live agents
//   were lost for that time, or because a frozen agent stayed in the table) are not counted as lost
//   by other agents.
// - If clocks differ by more than `clock_margin`, the time in a key is not reliable.
// - A key without a time that is repeated after the window counts as new.
// - A service with a single agent loses all records when that agent is lost.
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

// The mechanisms that provide the guarantee. All are enabled; the proof disables one at a time to
// show that it detects the fault.
struct AtMostOnceMechanisms {
  bool copy_before_running = true;      // an owner that is the executor waits for a second holder
  bool collect_before_deciding = true;  // a new owner first queries all other agents
  bool answer_only_with_table = true;   // an agent answers only under a table at least as new
  bool forget_after_second_loss = true;
  bool restore_copies = true;
};

// Times and bounds of the at-most-once guarantee.
struct AtMostOnceLimits {
  base::Duration window{600'000'000};    // how long a key is remembered
  std::size_t record_capacity = 40'000;  // keys remembered; a new one is refused when full
  std::size_t pending_capacity = 4'096;  // requests waiting for a grant; more are refused
  base::Duration freshness{3'000'000};   // an owner grants this long after its table was confirmed
  base::Duration restore_time{30'000'000};  // time within which copies are restored after a loss
  base::Duration resend_interval{100'000};  // between retransmissions of an unanswered message
  AtMostOnceMechanisms mechanisms;
  base::Duration clock_margin{1'000'000};  // maximum difference between clocks
};

// A keyed request that this agent asks permission to run.
struct KeyedRequest {
  RequestId id;
  KeyDigest key;
  std::uint64_t fingerprint = 0;
  std::optional<base::Duration> key_created_at;  // since the Unix epoch, from the time in the key
  base::TimePoint deadline;
};

// A message for another agent of the service.
struct OutgoingMessage {
  base::NodeId destination;
  proto::AtMostOnceMessage message;
};

// A request that is answered from the record of an earlier execution.
struct RepeatedRequest {
  RequestId id;
  StoredAnswer answer;
};

// The actions that result from one event.
struct AtMostOnceActions {
  std::vector<OutgoingMessage> send;
  std::vector<RequestId> run;  // each appears once; Finish() must follow
  std::vector<RefusedRequest> refused;
  std::vector<RepeatedRequest> repeated;
};

// One agent's side of the protocol. Messages may be lost, duplicated, delayed and reordered. Not
// thread-safe; the owner passes in the time.
class AtMostOnce {
 public:
  // `self` and `incarnation` identify this agent; `now` is its start time, which is `wall_time`
  // since the Unix epoch. Each agent compares the times in keys with its own clock, so that the
  // delay of a message cannot make a key look newer. `clock_margin` bounds the difference between
  // the clocks of callers and agents.
  AtMostOnce(base::NodeId self, base::Incarnation incarnation, const AtMostOnceLimits& limits,
             base::TimePoint now, base::Duration wall_time);
  ~AtMostOnce();
  AtMostOnce(AtMostOnce&&) noexcept;
  AtMostOnce& operator=(AtMostOnce&&) = delete;

  // Applies a newer table of the service; older tables are ignored. `confirmed_at` is when this
  // node sent the last report that the planner acknowledged.
  AtMostOnceActions SetTable(const std::shared_ptr<const routing::BucketTable>& table,
                             base::TimePoint confirmed_at, base::TimePoint now);

  // Requests permission to run a keyed request. The result is in these or later actions.
  AtMostOnceActions Begin(const KeyedRequest& request, base::TimePoint now);

  // Records the end of a request that was returned in `run`. `state` must not be kGranted.
  AtMostOnceActions Finish(RequestId id, ExecutionState state, const StoredAnswer& answer,
                           base::TimePoint now);

  // Cancels a request that has not been returned in `run` yet. Does nothing for other requests.
  AtMostOnceActions Abandon(RequestId id, base::TimePoint now);

  // Handles a message from another agent; malformed messages are ignored.
  AtMostOnceActions OnMessage(base::NodeId sender, const proto::AtMostOnceMessage& message,
                              base::TimePoint now);

  // Retransmits messages, refuses overdue requests and expires records. Call about every
  // resend_interval.
  AtMostOnceActions OnTimer(base::TimePoint now);

  // Returns whether this agent owns the bucket, has collected all its records and may decide on its
  // keys now.
  bool IsSettledOwner(base::BucketIndex bucket, base::TimePoint now) const;

  // Returns whether this agent can tell that a key created now has not been used.
  bool RemembersNewKeys(base::TimePoint now) const;

  // Returns whether this agent is still collecting records or restoring copies. While it is, the
  // loss of one more agent may lose records.
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

  // A copy that is being restored after the loss of its holder.
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

  proto::Verdict Decide(const ExecutionRecord& requested,
                        const std::optional<base::Duration>& key_age, base::TimePoint now);
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
  absl::flat_hash_map<std::uint64_t, RequestId> by_grant_;  // grant numbers of the pending requests
  absl::flat_hash_map<KeyDigest, Restoration> restorations_;
  std::unique_ptr<BucketCollections> collections_;
  std::unique_ptr<HistoryCompleteness> completeness_;
  base::TimePoint unix_epoch_;  // as a time point of the agent's monotonic clock
  std::uint64_t next_grant_ = 1;
};

}  // namespace gaugevalve::requests
