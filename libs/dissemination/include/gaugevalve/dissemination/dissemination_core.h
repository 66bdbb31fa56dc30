// Spreads records among nodes: the decision core, without sockets, clocks or threads.
//
// - A new record goes at once to a few random peers: one gets its bytes, the others only its stamp,
//   and ask for the bytes if they need them. Each node that learns of it does the same, once, so
//   it is nearly everywhere after about log(n) rounds at a cost per node that doesn't grow with n.
// - Whatever that missed is found by comparing a tree of digests with a random peer now and then;
// two
//   nodes with the same records find that out with a few dozen bytes.
// - A small change travels as a patch on the version before; a node without that version asks for
//   the whole, or for the steps it lacks.
// - An empty node reads everything from several peers in pages; one that was isolated for
// long reads
//   what differs.
// - Sending is held to budgets in bytes a second, one for spreading news and one for answers, so
// that
//   a long answer doesn't hold up news. Under pressure the newest changes go first; what is dropped
//   from a full queue is left to the comparison.
//
// Embedding: call Publish() for own records, Receive() for each message from a peer, Tick() when
// NextDeadline() is reached, UpsertPeer()/RemovePeer() as membership changes; send what Actions
// says. A message may be lost, repeated or overtaken: the records still agree in the end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/dissemination/byte_budget.h"
#include "gaugevalve/dissemination/peer_directory.h"
#include "gaugevalve/dissemination/record_store.h"

namespace gaugevalve::dissemination {

namespace proto {
class Entry;
class InterestEntries;
class Message;
class Page;
class PageRequest;
class Update;
}  // namespace proto

// Settings of one node. The defaults are those of docs/design/0006-dissemination.md.
struct DisseminationOptions {
  base::NodeId self;
  std::string zone;
  Interest interest;
  std::size_t relays = 5;                 // peers told of each new record ...
  std::size_t eager_relays = 2;           // ... and so many of them get its bytes at once
  std::size_t eager_bytes = 640;          // updates above this size go out as announcements only
  std::size_t max_scope_peers = 64;       // narrow peers that an author sends to directly
  std::size_t max_queue = 8192;           // entries waiting for each budget; the oldest fall out
  double push_bytes_per_second = 1500;    // for spreading news
  double answer_bytes_per_second = 1500;  // for records that peers ask for, and comparisons
  double burst_bytes = 16384;             // of each
  double page_bytes_per_second = 40000;   // for serving nodes that lack much
  std::size_t page_bytes = 32768;
  std::size_t read_streams = 4;
  base::Duration batch_delay = std::chrono::milliseconds(20);
  base::Duration compare_interval = std::chrono::milliseconds(600);
  base::Duration narrow_compare_interval = std::chrono::seconds(3);
  // A record that was asked for is awaited this long, then another peer is asked; a peer that can't
  // answer in this time doesn't answer at all.
  base::Duration request_timeout = std::chrono::milliseconds(400);
  base::Duration page_timeout = std::chrono::seconds(2);
  RecordStoreLimits limits;
  InjectedFaults faults;
};

// A message for a peer; the bytes are what its Receive() takes.
struct OutgoingMessage {
  base::NodeId to;
  std::string bytes;
};

// What the caller has to do after an event. Appended to, never cleared here.
struct Actions {
  std::vector<OutgoingMessage> messages;
  std::vector<RecordKey> changed;  // records that are new in the store, in the order they came
};

// Counts since the start.
struct DisseminationCounters {
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t updates_received = 0;
  std::uint64_t duplicates_received = 0;
  std::uint64_t patches_without_base = 0;
  std::uint64_t announcements_received = 0;
  std::uint64_t malformed_messages = 0;
  std::uint64_t uncovered_updates = 0;   // outside this node's interest
  std::uint64_t refused_full = 0;        // the store was full
  std::uint64_t updates_superseded = 0;  // in a queue, by a later change of the same record
  std::uint64_t queue_dropped = 0;       // left to the comparison
  std::uint64_t answers_expired = 0;     // the peer has asked another by now
  std::uint64_t comparisons_equal = 0;
  std::uint64_t comparisons_different = 0;
  std::uint64_t pages_served = 0;
  std::uint64_t page_bytes_sent = 0;  // part of bytes_sent
};

// The core of one node. Not thread-safe.
class DisseminationCore {
 public:
  // `random` must outlive the core.
  DisseminationCore(const DisseminationOptions& options, base::RandomSource& random);

  // Takes a record of this node's own making into the store and spreads it with the next Tick(),
  // together with what else is published by then.
  PutResult Publish(const RecordKey& key, const RecordVersion& version, std::string value,
                    base::TimePoint now, Actions& actions);

  // Handles one message. Malformed ones are counted and have no effect.
  void Receive(base::NodeId from, std::string_view bytes, base::TimePoint now, Actions& actions);

  // Does what is due by `now`.
  void Tick(base::TimePoint now, Actions& actions);

  // Compares with this peer now, for instance because it is known to hold something newer.
  void CompareWith(base::NodeId peer, base::TimePoint now, Actions& actions);

  // Returns when Tick() has something to do next.
  base::TimePoint NextDeadline() const;

  void UpsertPeer(const Peer& peer) { peers_.Upsert(peer); }
  void RemovePeer(base::NodeId node) { peers_.Remove(node); }

  const RecordStore& Records() const { return store_; }
  const DisseminationCounters& Counters() const { return counters_; }

  // True once this node has read all pages from peers, or was found equal to one.
  bool HasJoined() const { return joined_; }

  // Returns when the last comparison was begun whose peer held nothing newer.
  base::TimePoint ConfirmedAt() const { return confirmed_at_; }

 private:
  enum class SendMode : std::uint8_t { kAnnounce, kPush, kReply };

  // Something waiting for the budget. The record's bytes are looked up when it is sent, and a later
  // change for the same peer takes the place of one that waits, so several changes of one record in
  // a burst cost one update.
  struct QueuedUpdate {
    base::NodeId to;
    RecordKey key;
    SendMode mode = SendMode::kAnnounce;
    RecordStamp held;  // what the peer holds: as it said for replies, as supposed for pushes
    bool repair = false;
    base::TimePoint queued_at{};
    std::uint64_t number = 0;  // of those queued, in order
  };

  // Where an update goes.
  struct Destination {
    base::NodeId to;
    RecordKey key;

    friend bool operator==(const Destination&, const Destination&) = default;

    template <class HashState>
    friend HashState AbslHashValue(HashState state, const Destination& destination) {
      return HashState::combine(std::move(state), destination.to.value(), destination.key);
    }
  };

  // A record that a peer announced and was asked for.
  struct PendingRequest {
    RecordStamp wanted;
    std::vector<base::NodeId> sources;  // asked in turn; bounded by kMaxSources
    base::TimePoint deadline;
  };

  // A record to ask a peer for.
  struct OutgoingRequest {
    base::NodeId to;
    RecordKey key;
  };

  // One range of leaves that this node reads in pages.
  struct ReadStream {
    base::NodeId source;  // 0: not chosen yet
    std::size_t first_leaf = 0;
    std::size_t end_leaf = 0;
    bool done = false;
    bool asked = false;  // and not answered
    bool has_after = false;
    RecordKey after;
    base::TimePoint deadline;  // ask (again) then
  };

  // What waits for one budget, newest at the back. Of several entries for one destination only the
  // last, which `newest` has, counts; the others are passed over when their turn comes.
  struct SendQueue {
    std::deque<QueuedUpdate> waiting;
    absl::flat_hash_map<Destination, QueuedUpdate> newest;
    ByteBudget budget;
    base::TimePoint flush_at{};
  };

  void QueueForRelays(const RecordKey& key, const RecordStamp& before, base::NodeId except,
                      bool eager);
  void QueueForScopePeers(const RecordKey& key, const RecordStamp& before, bool is_author);
  void Enqueue(QueuedUpdate waiting);
  static bool PopNext(SendQueue& queue, QueuedUpdate& waiting);
  void Flush(SendQueue& queue, base::TimePoint now, Actions& actions);
  std::size_t AppendUpdate(const QueuedUpdate& waiting, proto::Message& message);
  static proto::Update MakeUpdate(const Record& record, const QueuedUpdate& waiting);
  void Send(base::NodeId to, const proto::Message& message, ByteBudget& budget, Actions& actions);

  void HandleUpdate(base::NodeId from, const proto::Update& update, bool relay, base::TimePoint now,
                    Actions& actions);
  void RequestFrom(base::NodeId from, const RecordKey& key, const RecordStamp& wanted,
                   base::TimePoint now);
  void SendRequests(Actions& actions);
  void RetryRequests(base::TimePoint now);

  void CompareWithRandomPeer(base::TimePoint now, Actions& actions);
  void AnswerComparison(base::NodeId from, const proto::Message& message, base::TimePoint now,
                        Actions& actions);
  void AnswerInterest(base::NodeId from, const proto::InterestEntries& entries, base::TimePoint now,
                      proto::Message& answer);
  std::vector<const Record*> CompareEntries(base::NodeId from,
                                            const std::vector<const Record*>& held,
                                            const std::vector<const proto::Entry*>& theirs,
                                            base::TimePoint now);
  void HandleEqual(base::NodeId from, std::uint64_t token);

  void StartPageReads(base::NodeId source, base::TimePoint now);
  void AdvancePageReads(base::TimePoint now, Actions& actions);
  void RequestPage(const ReadStream& stream, Actions& actions);
  void ServePage(base::NodeId from, const proto::PageRequest& request, base::TimePoint now,
                 Actions& actions);
  void HandlePage(base::NodeId from, const proto::Page& page, base::TimePoint now,
                  Actions& actions);

  DisseminationOptions options_;
  base::RandomSource* random_;
  RecordStore store_;
  PeerDirectory peers_;
  SendQueue pushes_;
  SendQueue answers_;
  ByteBudget page_budget_;
  absl::flat_hash_map<RecordKey, PendingRequest> requests_;
  // Of records published here and not sent since: their state before.
  absl::flat_hash_map<RecordKey, Record> unsent_;
  std::uint64_t last_queue_number_ = 0;
  std::vector<OutgoingRequest> outgoing_requests_;  // sent at the end of the event
  std::vector<ReadStream> streams_;
  bool joined_ = false;
  base::TimePoint next_comparison_{};
  base::NodeId compared_peer_;
  std::uint64_t comparison_token_ = 0;
  base::TimePoint compared_at_{};
  base::TimePoint confirmed_at_{};
  base::TimePoint now_{};
  DisseminationCounters counters_;
};

}  // namespace gaugevalve::dissemination
