// Publishes, pushes and applies records. For comparison and joining see dissemination_repair.cpp.
#include "gaugevalve/dissemination/dissemination_core.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "gaugevalve/dissemination/dissemination.pb.h"
#include "gaugevalve/dissemination/value_codec.h"
#include "message_codec.h"

namespace gaugevalve::dissemination {
namespace {

constexpr std::size_t kMaxSources = 3;
// Maximum number of records requested at one time. Announcements beyond it are left to the
// comparison.
constexpr std::size_t kMaxRequests = 64;
// Bytes that a message costs on the wire in addition to its payload: envelope, framing, TCP and IP
// headers.
constexpr std::uint64_t kMessageOverhead = 80;
// A flush builds its messages in rounds of at most this many entries and approximately this many
// bytes, and checks the budget between rounds.
constexpr std::size_t kFlushRound = 64;
constexpr std::size_t kMaxRoundBytes = 4096;
// A node with at least this many updates queued sends each one to fewer peers: it skips one relay,
// and an author leaves the narrow peers to the nodes they are assigned to.
constexpr std::size_t kBusyQueue = 64;

}  // namespace

DisseminationCore::DisseminationCore(const DisseminationOptions& options,
                                     base::RandomSource& random)
    : options_(options),
      random_(&random),
      store_(options.limits, options.faults),
      peers_({options.self, options.zone, options.interest}, random),
      pushes_{{}, {}, ByteBudget(options.push_bytes_per_second, options.burst_bytes)},
      answers_{{}, {}, ByteBudget(options.answer_bytes_per_second, options.burst_bytes)},
      page_budget_(options.page_bytes_per_second, static_cast<double>(options.page_bytes)) {}

PutResult DisseminationCore::Publish(const RecordKey& key, const RecordVersion& version,
                                     std::string value, base::TimePoint now, Actions& actions) {
  now_ = now;
  const RecordStamp before = store_.StampOf(key);
  const Record* held = store_.Find(key);
  if (held != nullptr) {
    unsent_.try_emplace(key, *held);
  }
  const auto unsent = unsent_.find(key);
  const Record* base = unsent == unsent_.end() ? nullptr : &unsent->second;
  const PutResult result = store_.Publish(key, version, std::move(value), base);
  if (result == PutResult::kStored) {
    actions.changed.push_back(key);
    QueueForScopePeers(key, before, true);
    QueueForRelays(key, before, base::NodeId(), true);
  }
  return result;
}

void DisseminationCore::Receive(base::NodeId from, std::string_view bytes, base::TimePoint now,
                                Actions& actions) {
  now_ = now;
  proto::Message message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    ++counters_.malformed_messages;
    return;
  }
  for (const proto::Update& update : message.updates()) {
    HandleUpdate(from, update, true, now, actions);
  }
  for (const proto::Entry& entry : message.announcements()) {
    ++counters_.announcements_received;
    RequestFrom(from, KeyOf(entry), StampOf(entry), now);
  }
  for (const proto::Entry& entry : message.requests()) {
    if (store_.StampOf(KeyOf(entry)) > StampOf(entry)) {
      Enqueue({from, KeyOf(entry), SendMode::kReply, StampOf(entry), false, now});
    }
  }
  AnswerComparison(from, message, now, actions);
  if (message.has_page_request()) {
    ServePage(from, message.page_request(), now, actions);
  }
  if (message.has_page()) {
    HandlePage(from, message.page(), now, actions);
  }
  SendRequests(actions);
  Flush(answers_, now, actions);  // a peer waits for these, so they are not delayed for batching
}

void DisseminationCore::Tick(base::TimePoint now, Actions& actions) {
  now_ = now;
  RetryRequests(now);
  if (pushes_.waiting.empty()) {
    unsent_.clear();  // published while there was no peer to send to
  }
  if (now >= next_comparison_) {
    CompareWithRandomPeer(now, actions);
  }
  AdvancePageReads(now, actions);
  SendRequests(actions);
  for (SendQueue* queue : {&pushes_, &answers_}) {
    if (now >= queue->flush_at) {
      Flush(*queue, now, actions);
    }
  }
}

base::TimePoint DisseminationCore::NextDeadline() const {
  base::TimePoint deadline = next_comparison_;
  for (const SendQueue* queue : {&pushes_, &answers_}) {
    if (!queue->waiting.empty()) {
      deadline = std::min(deadline, queue->flush_at);
    }
  }
  for (const auto& [key, request] : requests_) {
    deadline = std::min(deadline, request.deadline);
  }
  for (const ReadStream& stream : streams_) {
    if (!stream.done) {
      deadline = std::min(deadline, stream.deadline);
    }
  }
  return deadline;
}

// Queues the record for the relays, which are random peers.
void DisseminationCore::QueueForRelays(const RecordKey& key, const RecordStamp& before,
                                       base::NodeId except, bool eager) {
  std::size_t pushes = eager ? options_.eager_relays : 0;
  const std::vector<base::NodeId>& relays = peers_.Relays(key, options_.relays, now_);
  // A busy node skips one relay: neither an eager one nor the last, which may be in another zone.
  const std::size_t skipped =
      pushes_.newest.size() < kBusyQueue ? relays.size() : options_.eager_relays;
  for (std::size_t place = 0; place < relays.size(); ++place) {
    const base::NodeId node = relays[place];
    if (node != except && place != skipped) {
      Enqueue({node, key, pushes > 0 ? SendMode::kPush : SendMode::kAnnounce, before, false, now_});
      pushes -= pushes > 0 ? 1 : 0;
    }
  }
}

// Queues the record for narrow peers: those assigned to this node or, if it is the author and not
// busy, all peers of the scope.
void DisseminationCore::QueueForScopePeers(const RecordKey& key, const RecordStamp& before,
                                           bool is_author) {
  const bool direct = is_author && pushes_.newest.size() < kBusyQueue;
  for (const base::NodeId node : direct ? peers_.PeersOfScope(key, options_.max_scope_peers)
                                        : peers_.AssignedPeersOfScope(key)) {
    Enqueue({node, key, SendMode::kPush, before, false, now_});
  }
}

void DisseminationCore::Enqueue(QueuedUpdate waiting) {
  const bool is_reply = waiting.mode == SendMode::kReply;
  SendQueue& queue = is_reply ? answers_ : pushes_;
  if (queue.waiting.empty()) {
    queue.flush_at = now_ + options_.batch_delay;
  }
  if (queue.waiting.size() >= options_.max_queue) {
    const QueuedUpdate& oldest = queue.waiting.front();
    const auto newest = queue.newest.find({oldest.to, oldest.key});
    if (newest != queue.newest.end() && newest->second.number == oldest.number) {
      queue.newest.erase(newest);
      ++counters_.queue_dropped;
    }
    queue.waiting.pop_front();
  }
  waiting.number = ++last_queue_number_;
  const auto [place, added] = queue.newest.try_emplace({waiting.to, waiting.key}, waiting);
  if (!added) {
    ++counters_.updates_superseded;
    const QueuedUpdate& earlier = place->second;
    if (!is_reply) {  // the peer still holds what it held when the earlier entry was queued
      waiting.held = earlier.held;
      waiting.mode = std::max(waiting.mode, earlier.mode);
    }
    place->second = waiting;
  }
  queue.waiting.push_back(waiting);
}

// Removes the newest valid entry. Returns false when there is none.
bool DisseminationCore::PopNext(SendQueue& queue, QueuedUpdate& waiting) {
  while (!queue.waiting.empty()) {
    waiting = queue.waiting.back();
    queue.waiting.pop_back();
    const auto newest = queue.newest.find({waiting.to, waiting.key});
    if (newest != queue.newest.end() && newest->second.number == waiting.number) {
      queue.newest.erase(newest);
      return true;
    }
  }
  return false;
}

void DisseminationCore::Flush(SendQueue& queue, base::TimePoint now, Actions& actions) {
  queue.budget.Refill(now);
  while (!queue.waiting.empty() && queue.budget.HasTokens()) {
    // One round builds messages for several peers, so that all updates for one peer share a
    // message.
    std::map<base::NodeId, proto::Message> messages;
    std::size_t bytes = 0;
    QueuedUpdate waiting;
    for (std::size_t taken = 0; taken < kFlushRound && PopNext(queue, waiting); ++taken) {
      const bool expired =
          waiting.mode == SendMode::kReply && now >= waiting.queued_at + options_.request_timeout;
      if (expired) {
        ++counters_.answers_expired;
        continue;
      }
      bytes += AppendUpdate(waiting, messages[waiting.to]);
      if (bytes >= kMaxRoundBytes) {
        break;
      }
    }
    for (const auto& [node, message] : messages) {
      if (message.ByteSizeLong() > 0) {
        Send(node, message, queue.budget, actions);
      }
    }
  }
  queue.flush_at = std::max(now + options_.batch_delay, queue.budget.AvailableAt());
}

std::size_t DisseminationCore::AppendUpdate(const QueuedUpdate& waiting, proto::Message& message) {
  const Record* record = store_.Find(waiting.key);
  if (record == nullptr) {
    return 0;
  }
  unsent_.erase(waiting.key);
  if (waiting.mode != SendMode::kAnnounce) {
    proto::Update update = MakeUpdate(*record, waiting);
    const std::size_t size = update.ByteSizeLong();
    if (waiting.mode == SendMode::kReply || size <= options_.eager_bytes) {
      *message.add_updates() = std::move(update);
      return size;
    }
  }
  proto::Entry& entry = *message.add_announcements();
  FillEntry(record->key, record->stamp, entry);
  return entry.ByteSizeLong();
}

// Returns the smallest form of the record that the peer can use: the patches from the version it
// holds, or the whole value.
proto::Update DisseminationCore::MakeUpdate(const Record& record, const QueuedUpdate& waiting) {
  const auto first = std::find_if(record.patches.begin(), record.patches.end(),
                                  [&](const Patch& patch) { return patch.base == waiting.held; });
  proto::Update update;
  FillEntry(record.key, record.stamp, *update.mutable_entry());
  update.set_repair(waiting.repair);
  for (auto patch = first; patch != record.patches.end(); ++patch) {
    FillPatch(*patch, *update.add_patches());
  }
  if (update.patches().empty()) {
    update.set_value(CompressValue(*record.value));
  }
  return update;
}

void DisseminationCore::Send(base::NodeId to, const proto::Message& message, ByteBudget& budget,
                             Actions& actions) {
  std::string bytes = message.SerializeAsString();
  budget.Spend(bytes.size() + kMessageOverhead);
  counters_.bytes_sent += bytes.size() + kMessageOverhead;
  ++counters_.messages_sent;
  actions.messages.push_back({to, std::move(bytes)});
}

void DisseminationCore::HandleUpdate(base::NodeId from, const proto::Update& update, bool relay,
                                     base::TimePoint now, Actions& actions) {
  ++counters_.updates_received;
  const RecordKey key = KeyOf(update.entry());
  const RecordStamp stamp = StampOf(update.entry());
  if (!options_.interest.Covers(key)) {
    ++counters_.uncovered_updates;
    return;
  }
  const Record* held = store_.Find(key);
  const bool is_not_newer = held != nullptr && held->stamp >= stamp;
  if (is_not_newer && !options_.faults.accept_older_records) {
    ++counters_.duplicates_received;
    return;
  }
  const RecordStamp before = store_.StampOf(key);
  const std::size_t max_bytes = options_.limits.max_value_bytes;
  std::optional<std::string> value;
  std::vector<Patch> patches;
  if (update.patches().empty()) {
    value = DecompressValue(update.value(), max_bytes);
  } else if (held != nullptr) {
    patches = held->patches;
    for (const proto::Patch& patch : update.patches()) {
      const bool fits = value.has_value() || BaseOf(patch) == held->stamp;
      if (fits) {
        value = ApplyPatch(value.has_value() ? *value : *held->value, patch.data(), max_bytes);
        patches.push_back({BaseOf(patch), patch.data()});
      }
      if (fits && !value.has_value()) {
        break;
      }
    }
  }
  if (!value.has_value() || DigestOf(*value) != stamp.digest) {
    ++counters_.patches_without_base;
    RequestFrom(from, key, stamp, now);
    return;
  }
  if (store_.Put(key, stamp.version, std::move(*value), std::move(patches)) != PutResult::kStored) {
    ++counters_.refused_full;
    return;
  }
  const auto pending = requests_.find(key);
  if (pending != requests_.end() && pending->second.wanted <= stamp) {
    requests_.erase(pending);
  }
  unsent_.erase(key);
  actions.changed.push_back(key);
  // Records that a narrow node holds only because of their scope are relayed by other nodes.
  const bool is_relay = options_.interest.everything ||
                        Interest{false, 0, options_.interest.common_kinds}.Covers(key);
  if (relay && is_relay) {
    QueueForScopePeers(key, before, false);
    QueueForRelays(key, before, from, !update.repair());
  }
}

void DisseminationCore::RequestFrom(base::NodeId from, const RecordKey& key,
                                    const RecordStamp& wanted, base::TimePoint now) {
  const RecordStamp held = store_.StampOf(key);
  if (!options_.interest.Covers(key) || wanted <= held) {
    return;
  }
  const auto pending = requests_.find(key);
  if (pending != requests_.end() && pending->second.wanted >= wanted) {
    std::vector<base::NodeId>& sources = pending->second.sources;
    if (sources.size() < kMaxSources) {
      sources.push_back(from);
    }
    return;
  }
  if (pending == requests_.end() && requests_.size() >= kMaxRequests) {
    return;  // left to the comparison
  }
  requests_[key] = {wanted, {}, now + options_.request_timeout};
  outgoing_requests_.push_back({from, key});
}

// Sends the requests collected by RequestFrom(), one message per peer.
void DisseminationCore::SendRequests(Actions& actions) {
  std::map<base::NodeId, proto::Message> messages;
  for (const OutgoingRequest& outgoing : outgoing_requests_) {
    FillEntry(outgoing.key, store_.StampOf(outgoing.key), *messages[outgoing.to].add_requests());
  }
  outgoing_requests_.clear();
  for (const auto& [node, message] : messages) {
    Send(node, message, answers_.budget, actions);
  }
}

void DisseminationCore::RetryRequests(base::TimePoint now) {
  std::vector<RecordKey> due;
  for (const auto& [key, request] : requests_) {
    if (request.deadline <= now) {
      due.push_back(key);
    }
  }
  std::sort(due.begin(), due.end());
  for (const RecordKey& key : due) {
    PendingRequest request = requests_[key];
    requests_.erase(key);
    if (request.sources.empty()) {
      continue;  // left to the comparison
    }
    const base::NodeId next = request.sources.front();
    request.sources.erase(request.sources.begin());
    RequestFrom(next, key, request.wanted, now);
    const auto renewed = requests_.find(key);
    if (renewed != requests_.end()) {
      renewed->second.sources = request.sources;
    }
  }
}

}  // namespace gaugevalve::dissemination
