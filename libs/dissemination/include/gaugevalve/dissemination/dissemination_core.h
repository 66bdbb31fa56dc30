// Disseminates records to all nodes. The core has no socket, clock or thread.
//
// - A new record is sent at once to a few random peers. Some of them (`eager_relays`) receive its
//   value, the others only its stamp, and they request the value if they need it. Each node that
//   receives the record forwards it once in the same way, so it reaches nearly all nodes after
//   about log(n) rounds, at a cost per node that does not grow with n.
// - Records that were missed are found by periodically comparing a digest tree with a random peer.
//   Two nodes with the same records detect this with a few dozen bytes.
// - A small change is sent as a patch against the previous version. A node without that version
//   requests the whole value or the patches that it lacks.
// - An empty node reads everything in pages from several peers. A node that was isolated for a long
//   time reads only what differs.
// - Byte budgets limit the sending rate: one for pushing updates and one for replies, so a long
//   reply does not delay updates. When a budget is exhausted, the newest changes are sent first.
//   Updates dropped from a full queue are left to the comparison.
//
// Usage: call Publish() for own records, Receive() for each message from a peer, Tick() at
// NextDeadline(), and UpsertPeer()/RemovePeer() as the membership changes; send the messages in
// Actions. Messages may be lost, duplicated or reordered: the nodes still converge.
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

// Options of one node. The defaults are those of docs/design/0006-dissemination.md.
struct DisseminationOptions {
  base::NodeId self;
  std::string zone;
  Interest interest;
  std::size_t relays = 5;                 // peers that receive each new record
  std::size_t eager_relays = 2;           // the number of relays that receive the value at once
  std::size_t eager_bytes = 640;          // updates above this size are only announced
  std::size_t max_scope_peers = 64;       // narrow peers that an author sends to directly
  std::size_t max_queue = 8192;           // entries per send queue; the oldest are dropped
  double push_bytes_per_second = 1500;    // for pushed updates and announcements
  double answer_bytes_per_second = 1500;  // for requested records and comparisons
  double burst_bytes = 16384;             // of each of these two budgets
  double page_bytes_per_second = 40000;   // for serving pages
  std::size_t page_bytes = 32768;
  std::size_t read_streams = 4;
  base::Duration batch_delay = std::chrono::milliseconds(20);
  base::Duration compare_interval = std::chrono::milliseconds(600);
  base::Duration narrow_compare_interval = std::chrono::seconds(3);
  // A requested record is awaited for this long before another peer is asked. A peer that cannot
  // reply within this time drops the reply.
  base::Duration request_timeout = std::chrono::milliseconds(400);
  base::Duration page_timeout = std::chrono::seconds(2);
  RecordStoreLimits limits;
  InjectedFaults faults;
};

// A message to a peer. The bytes are passed to its Receive().
struct OutgoingMessage {
  base::NodeId to;
  std::string bytes;
};

// The actions requested from the caller. The core appends to the lists and never clears them.
struct Actions {
  std::vector<OutgoingMessage> messages;
  std::vector<RecordKey> changed;  // records newly stored, in order of arrival
};

// Event counts since construction.
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
  std::uint64_t updates_superseded = 0;  // replaced in a queue by a later change of the same record
  std::uint64_t queue_dropped = 0;       // left to the comparison
  std::uint64_t answers_expired = 0;     // too late: the peer has asked another node by now
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

  // Stores a record created by this node. It is sent at the next Tick(), together with everything
  // else published by then.
  PutResult Publish(const RecordKey& key, const RecordVersion& version, std::string value,
                    base::TimePoint now, Actions& actions);

  // Handles one message. Malformed messages are counted and have no effect.
  void Receive(base::NodeId from, std::string_view bytes, base::TimePoint now, Actions& actions);

  // Performs the work that is due at `now`.
  void Tick(base::TimePoint now, Actions& actions);

  // Starts a comparison with this peer, for instance because it is known to hold something newer.
  void CompareWith(base::NodeId peer, base::TimePoint now, Actions& actions);

  // Returns when Tick() must be called next.
  base::TimePoint NextDeadline() const;

  void UpsertPeer(const Peer& peer) { peers_.Upsert(peer); }
  void RemovePeer(base::NodeId node) { peers_.Remove(node); }

  const RecordStore& Records() const { return store_; }
  const DisseminationCounters& Counters() const { return counters_; }

  // Returns whether this node has read all pages from peers or was found equal to a peer.
  bool HasJoined() const { return joined_; }

  // Returns the start time of the latest comparison in which the peer held nothing newer.
  base::TimePoint ConfirmedAt() const { return confirmed_at_; }

 private:
  enum class SendMode : std::uint8_t { kAnnounce, kPush, kReply };

  // An entry waiting for the byte budget. The value is looked up when the entry is sent, and a
  // later change for the same peer replaces a waiting one. Several changes of one record in a burst
  // therefore cost one update.
  struct QueuedUpdate {
    base::NodeId to;
    RecordKey key;
    SendMode mode = SendMode::kAnnounce;
    RecordStamp held;  // what the peer holds: as it reported for replies, as assumed for pushes
    bool repair = false;
    base::TimePoint queued_at{};
    std::uint64_t number = 0;  // sequence number in order of queueing
  };

  // The peer and record key of an update.
  struct Destination {
    base::NodeId to;
    RecordKey key;

    friend bool operator==(const Destination&, const Destination&) = default;

    template <class HashState>
    friend HashState AbslHashValue(HashState state, const Destination& destination) {
      return HashState::combine(std::move(state), destination.to.value(), destination.key);
    }
  };

  // A record that a peer announced and that was requested from it.
  struct PendingRequest {
    RecordStamp wanted;
    std::vector<base::NodeId> sources;  // other peers to ask in turn; bounded by kMaxSources
    base::TimePoint deadline;
  };

  // A record to request from a peer.
  struct OutgoingRequest {
    base::NodeId to;
    RecordKey key;
  };

  // A range of leaves that this node reads in pages.
  struct ReadStream {
    base::NodeId source;  // 0: not chosen yet
    std::size_t first_leaf = 0;
    std::size_t end_leaf = 0;
    bool done = false;
    bool asked = false;  // a page was requested and has not arrived
    bool has_after = false;
    RecordKey after;
    base::TimePoint deadline;  // time of the next request
  };

  // Entries waiting for one budget, newest at the back. Of several entries for one destination only
  // the last one, which `newest` holds, is valid; the others are skipped when they are reached.
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
  // Records published here but not sent yet: their state before the change.
  absl::flat_hash_map<RecordKey, Record> unsent_;
  std::uint64_t last_queue_number_ = 0;
  std::vector<OutgoingRequest> outgoing_requests_;  // sent at the end of the call
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
