#include "state_exchange.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::membership {
namespace {

// Rate limit on answers to digest offers. Each answer costs up to two messages of a few kilobytes.
constexpr double kComparisonsPerSecond = 1;
constexpr double kComparisonBurst = 2;
// Requests are refused when the byte budget has less room than this.
constexpr std::size_t kMinimumPageBytes = 256;  // a record takes about 100 bytes
constexpr std::size_t kPageHeaderBytes = 40;
constexpr std::size_t kRecordHeaderBytes = 3;
constexpr base::Duration kRequestRetryInterval = std::chrono::seconds(1);

std::vector<base::SocketAddress> OtherSeeds(const MembershipOptions& options,
                                            const base::SocketAddress& own) {
  std::vector<base::SocketAddress> seeds = options.seeds;
  seeds.erase(std::remove(seeds.begin(), seeds.end(), own), seeds.end());
  return seeds;
}

}  // namespace

StateExchange::StateExchange(base::NodeId self, const MembershipOptions& options,
                             const MemberTable& table, const PeerSelector& selector, Outbox& outbox,
                             base::RandomSource& random, MembershipCounters& counters,
                             RecordSink sink)
    : self_(self),
      options_(options),
      table_(table),
      selector_(selector),
      outbox_(outbox),
      random_(random),
      counters_(counters),
      sink_(std::move(sink)),
      pages_(options.pages_per_second, options.pages_per_second),
      comparisons_(kComparisonsPerSecond, kComparisonBurst),
      quick_offer_interval_(options.quick_offer_interval) {}

void StateExchange::Start(base::TimePoint now) {
  seeds_ = OtherSeeds(options_, table_.Find(self_)->metadata->control_address);
  next_offer_at_ = now + random_.NextJitter(options_.anti_entropy_interval);
  next_seed_check_at_ = now + random_.NextJitter(options_.seed_check_interval);
  const bool is_preloaded = table_.LiveCount() > 1;
  if (seeds_.empty() || is_preloaded) {
    is_joined_ = true;
    return;
  }
  RequestPage(now);
}

void StateExchange::OnStateRequest(const transport::SenderIdentity& sender,
                                   const proto::StateRequest& request, base::TimePoint now) {
  const std::size_t room =
      std::min(options_.page_bytes, outbox_.AvailableBytes(SendPriority::kRepair));
  if (room < kMinimumPageBytes || !pages_.TryTake(1, now)) {
    ++counters_.pages_refused;
    return;
  }
  ++counters_.pages_served;
  proto::MembershipMessage message;
  const Member* requester = table_.Find(sender.node);
  if (requester != nullptr && requester->incarnation > sender.incarnation) {
    // The requester's clock was set back: it must raise its incarnation above that of its former
    // process before it counts as joined.
    EncodeRecord(*requester, RecordDetail::kState, MakeAccuserTag(self_), *message.add_updates());
  }
  proto::StatePage& page = *message.mutable_state_page();
  page.set_after(request.after());
  std::size_t used = message.ByteSizeLong() + kPageHeaderBytes;
  auto place = table_.Members().upper_bound(base::NodeId(request.after()));
  for (; place != table_.Members().end(); ++place) {
    if (IsLive(place->second.state)) {
      proto::MemberRecord& record = *page.add_records();
      EncodeRecord(place->second, RecordDetail::kFull, MakeAccuserTag(self_), record);
      used += record.ByteSizeLong() + kRecordHeaderBytes;
      if (used > room) {
        page.mutable_records()->RemoveLast();
        break;
      }
    }
    page.set_last(place->first.value());
  }
  page.set_complete(place == table_.Members().end());
  outbox_.Send(sender.control_address, message, SendPriority::kRepair);
}

void StateExchange::OnStatePage(const transport::SenderIdentity& sender,
                                const proto::StatePage& page, base::TimePoint now) {
  if (is_joined_ || page.after() != cursor_.value()) {
    return;  // late or duplicated
  }
  for (const proto::MemberRecord& encoded : page.records()) {
    const std::optional<MemberRecord> record = DecodeRecord(encoded);
    if (record) {
      sink_(*record, sender);
    }
  }
  failed_requests_ = 0;
  if (page.complete()) {
    is_joined_ = true;
    used_page_sources_.clear();
    return;
  }
  cursor_ = std::max(cursor_, base::NodeId(page.last()));
  RequestPage(now);
}

void StateExchange::OnViewDigest(const transport::SenderIdentity& sender, std::uint32_t digest,
                                 bool has_no_pending_updates, base::TimePoint now) {
  if (digest == table_.Digest().Combined()) {
    quick_offer_interval_ = options_.quick_offer_interval;
    return;
  }
  if (digest == 0 || !has_no_pending_updates || now < next_quick_offer_at_) {
    return;
  }
  if (OfferDigestTo(sender.control_address)) {
    next_quick_offer_at_ = now + quick_offer_interval_;
    quick_offer_interval_ = std::min(quick_offer_interval_ * 2, options_.anti_entropy_interval);
  }
}

void StateExchange::OnDigestOffer(const transport::SenderIdentity& sender,
                                  const proto::DigestOffer& offer, base::TimePoint now) {
  const std::vector<std::size_t> buckets = DifferingBuckets(offer);
  const std::size_t room =
      std::min(options_.page_bytes, outbox_.AvailableBytes(SendPriority::kRepair));
  if (buckets.empty() || room < kMinimumPageBytes || !comparisons_.TryTake(1, now)) {
    return;
  }
  proto::MembershipMessage message;
  proto::BucketSummary& summary = *message.mutable_bucket_summary();
  absl::btree_map<std::size_t, std::vector<const Member*>> members;
  for (const auto& [node, member] : table_.Members()) {
    if (std::binary_search(buckets.begin(), buckets.end(), TableDigest::BucketOf(node))) {
      members[TableDigest::BucketOf(node)].push_back(&member);
    }
  }
  for (const std::size_t bucket : buckets) {
    proto::BucketSummary part;
    part.add_buckets(static_cast<std::uint32_t>(bucket));
    for (const Member* member : members[bucket]) {
      EncodeRecord(*member, RecordDetail::kState, MakeAccuserTag(self_), *part.add_records());
    }
    if (message.ByteSizeLong() + part.ByteSizeLong() + kPageHeaderBytes <= room) {
      summary.MergeFrom(part);
    }
  }
  if (summary.buckets_size() > 0) {
    outbox_.Send(sender.control_address, message, SendPriority::kRepair);
  }
}

void StateExchange::OnBucketSummary(const transport::SenderIdentity& sender,
                                    const proto::BucketSummary& summary) {
  absl::btree_map<base::NodeId, MemberRecord> theirs;
  for (const proto::MemberRecord& encoded : summary.records()) {
    const std::optional<MemberRecord> record = DecodeRecord(encoded);
    if (record) {
      sink_(*record, sender);
      theirs[record->node] = *record;
    }
  }
  std::vector<RecordToSend> newer;
  for (const auto& [node, member] : table_.Members()) {
    const auto bucket = static_cast<std::uint32_t>(TableDigest::BucketOf(node));
    const bool is_compared = std::find(summary.buckets().begin(), summary.buckets().end(),
                                       bucket) != summary.buckets().end();
    if (!is_compared) {
      continue;
    }
    const auto their = theirs.find(node);
    if (their == theirs.end()) {
      if (IsLive(member.state)) {
        newer.push_back({&member, RecordDetail::kFull});
      }
      continue;
    }
    const MemberRecord& known = their->second;
    if (std::pair(known.incarnation, known.state) < std::pair(member.incarnation, member.state)) {
      const bool has_metadata = known.metadata_version == member.metadata_version;
      newer.push_back({&member, has_metadata ? RecordDetail::kState : RecordDetail::kFull});
    }
  }
  SendRecords(sender, newer);
}

void StateExchange::OnRecordRequest(const transport::SenderIdentity& sender,
                                    const proto::RecordRequest& request) {
  std::vector<RecordToSend> members;
  for (const std::uint64_t node : request.nodes()) {
    const Member* member = table_.Find(base::NodeId(node));
    if (member != nullptr && members.size() < kMaximumRecordsRequested) {
      members.push_back({member, RecordDetail::kFull});
    }
  }
  SendRecords(sender, members);
}

void StateExchange::QueueRecordRequest(base::NodeId node) {
  if (nodes_to_request_.size() < kMaximumRecordsRequested) {
    nodes_to_request_.push_back(node);
  }
}

void StateExchange::SendRecordRequests(const base::SocketAddress& holder, base::TimePoint now) {
  if (nodes_to_request_.empty()) {
    return;
  }
  if (requested_at_.size() > kMaximumTrackedRequests) {
    requested_at_.clear();
  }
  proto::MembershipMessage message;
  for (const base::NodeId node : nodes_to_request_) {
    const auto [place, is_new] = requested_at_.try_emplace(node, now);
    if (is_new || now - place->second > kRequestRetryInterval) {
      place->second = now;
      message.mutable_record_request()->add_nodes(node.value());
    }
  }
  nodes_to_request_.clear();
  if (message.has_record_request()) {
    outbox_.Send(holder, message, SendPriority::kRepair);
  }
}

void StateExchange::OnTick(base::TimePoint now) {
  if (!is_joined_ && now >= page_deadline_) {
    RetryJoin(now);
  }
  if (now >= next_offer_at_) {
    OfferDigest(now);
  }
  if (now >= next_seed_check_at_) {
    CheckSeed(now);
  }
}

base::TimePoint StateExchange::NextWakeUp() const {
  const base::TimePoint repair_at = std::min(next_offer_at_, next_seed_check_at_);
  return is_joined_ ? repair_at : std::min(repair_at, page_deadline_);
}

void StateExchange::RequestPage(base::TimePoint now) {
  page_deadline_ = now + options_.join_timeout;
  proto::MembershipMessage message;
  message.mutable_state_request()->set_after(cursor_.value());
  outbox_.AddOwnRecord(message);
  outbox_.Send(PageSource(), message,
               SendPriority::kUnlimited);  // not joined yet, so the byte budget does not apply
}

base::SocketAddress StateExchange::PageSource() {
  const Member* peer = selector_.RegionalLivePeer(
      [this](const Member& member) { return !used_page_sources_.contains(member.node); });
  if (peer == nullptr) {
    used_page_sources_.clear();
    peer = selector_.NearLivePeer();
  }
  if (peer == nullptr || failed_requests_ > 0) {
    return RandomSeed();
  }
  used_page_sources_.insert(peer->node);
  return peer->metadata->control_address;
}

void StateExchange::RetryJoin(base::TimePoint now) {
  failed_requests_ = std::min(failed_requests_ + 1, kMaximumBackOffFactor);
  RequestPage(now);
  page_deadline_ = now + options_.join_timeout +
                   random_.NextJitter(options_.join_timeout * (failed_requests_ - 1));
}

void StateExchange::OfferDigest(base::TimePoint now) {
  constexpr int kJitterDivisor = 5;
  next_offer_at_ = now + options_.anti_entropy_interval -
                   random_.NextJitter(options_.anti_entropy_interval / kJitterDivisor);
  const Member* peer = selector_.NearLivePeer();
  if (peer != nullptr) {
    OfferDigestTo(peer->metadata->control_address);
  }
}

bool StateExchange::OfferDigestTo(const base::SocketAddress& destination) {
  proto::MembershipMessage message;
  const auto& digests = table_.Digest().Buckets();
  message.mutable_digest_offer()->mutable_digests()->Add(digests.begin(), digests.end());
  outbox_.AddOwnRecord(message);
  return outbox_.Send(destination, message, SendPriority::kRepair);
}

void StateExchange::CheckSeed(base::TimePoint now) {
  next_seed_check_at_ = now + options_.seed_check_interval;
  if (seeds_.empty()) {
    return;
  }
  const base::SocketAddress seed = RandomSeed();
  if (!IsLiveAddress(seed)) {
    OfferDigestTo(seed);  // the seed may belong to a group that was separated from this one
  }
}

const base::SocketAddress& StateExchange::RandomSeed() const {
  return seeds_.at(random_.NextBelow(seeds_.size()));
}

bool StateExchange::IsLiveAddress(const base::SocketAddress& address) const {
  return std::any_of(table_.Members().begin(), table_.Members().end(), [&](const auto& entry) {
    return IsLive(entry.second.state) && entry.second.metadata->control_address == address;
  });
}

std::vector<std::size_t> StateExchange::DifferingBuckets(const proto::DigestOffer& offer) const {
  std::vector<std::size_t> differing;
  const auto& own = table_.Digest().Buckets();
  if (static_cast<std::size_t>(offer.digests_size()) != own.size()) {
    return differing;
  }
  const std::size_t first = random_.NextBelow(own.size());
  for (std::size_t step = 0; step < own.size(); ++step) {
    const std::size_t bucket = (first + step) % own.size();
    const bool differs = offer.digests(static_cast<int>(bucket)) != own.at(bucket);
    if (differs && differing.size() < kMaximumBucketsCompared) {
      differing.push_back(bucket);
    }
  }
  std::sort(differing.begin(), differing.end());
  return differing;
}

void StateExchange::SendRecords(const transport::SenderIdentity& receiver,
                                const std::vector<RecordToSend>& records) {
  const std::size_t room =
      std::min(options_.page_bytes, outbox_.AvailableBytes(SendPriority::kRepair));
  proto::MembershipMessage message;
  std::size_t used = 0;
  for (const RecordToSend& each : records) {
    proto::MemberRecord& record = *message.add_updates();
    EncodeRecord(*each.member, each.detail, MakeAccuserTag(self_), record);
    used += record.ByteSizeLong() + kRecordHeaderBytes;
    if (used > room) {
      message.mutable_updates()->RemoveLast();
      break;  // the next exchange sends the rest
    }
  }
  if (message.updates_size() > 0) {
    outbox_.Send(receiver.control_address, message, SendPriority::kRepair);
  }
}

}  // namespace gaugevalve::membership
