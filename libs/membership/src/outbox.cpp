#include "outbox.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "absl/container/btree_map.h"

namespace gaugevalve::membership {
namespace {

// Transport overhead of a message: the sender's identity (IPv6 at most) and nng's length prefix.
constexpr std::size_t kEnvelopeBytes = 56;
constexpr std::size_t kFieldHeaderBytes = 3;  // tag and length of each record

// Returns whether the member's record has a short form. Receivers have the metadata of such a
// member already.
bool IsDeathOrRefutation(const Member& member) {
  const bool is_refutation = member.state == MemberState::kAlive &&  //
                             member.incarnation > member.metadata_version;
  return member.state == MemberState::kDead || is_refutation;
}

}  // namespace

Outbox::Outbox(base::NodeId self, const MembershipOptions& options, const MemberTable& table,
               UpdateQueue& queue)
    : self_(self),
      options_(options),
      table_(table),
      queue_(queue),
      updates_(options.update_bytes_per_second, options.update_burst_bytes),
      bytes_(options.bytes_per_second, options.reserved_bytes_per_second) {}

void Outbox::BeginCall(base::TimePoint now, MembershipActions& actions) {
  now_ = now;
  actions_ = &actions;
}

bool Outbox::Send(const base::SocketAddress& destination, proto::MembershipMessage& message,
                  SendPriority priority) {
  const std::size_t size = message.ByteSizeLong();
  if (size > AvailableBytes(priority)) {
    return false;
  }
  const std::size_t room_for_updates = AvailableBytes(SendPriority::kRepair);
  const std::size_t piggybacked_bytes =
      AddUpdates(message, room_for_updates > size ? room_for_updates - size : 0);
  AppendMessage(destination, message, priority, piggybacked_bytes);
  return true;
}

bool Outbox::SendTo(const Member& member, proto::MembershipMessage& message,
                    SendPriority priority) {
  if (member.state != MemberState::kAlive) {
    EncodeRecord(member, RecordDetail::kState, MakeAccuserTag(self_), *message.add_updates());
  }
  return Send(member.metadata->control_address, message, priority);
}

std::size_t Outbox::AvailableBytes(SendPriority priority) {
  if (options_.faults.ignore_byte_budget) {
    return std::numeric_limits<std::size_t>::max();
  }
  const std::size_t room = bytes_.AvailableBytes(priority, now_);
  return room > kEnvelopeBytes ? room - kEnvelopeBytes : 0;
}

bool Outbox::SendUpdates(const Member& member) {
  proto::MembershipMessage message;
  const std::size_t piggybacked_bytes = AddUpdates(message, AvailableBytes(SendPriority::kRepair));
  if (message.updates_size() + message.dead_size() + message.refuted_size() +
          message.summaries_size() ==
      0) {
    return false;
  }
  AppendMessage(member.metadata->control_address, message, SendPriority::kRepair,
                piggybacked_bytes);
  return true;
}

void Outbox::AddOwnRecord(proto::MembershipMessage& message) const {
  EncodeRecord(*table_.Find(self_), RecordDetail::kFull, 0, *message.add_updates());
}

std::uint32_t Outbox::RetransmitLimit() const {
  constexpr std::uint32_t kMinimumLimit = 4;
  const double members = static_cast<double>(table_.LiveCount()) + 1;
  const double limit = std::ceil(options_.retransmit_factor * std::log10(members));
  return std::max(kMinimumLimit, static_cast<std::uint32_t>(limit));
}

std::size_t Outbox::AddUpdates(proto::MembershipMessage& message, std::size_t room) {
  if (queue_.empty()) {
    return 0;
  }
  const std::size_t limit =
      std::min<std::size_t>({options_.update_bytes_per_message, updates_.Available(now_), room});
  std::size_t used = 0;
  absl::btree_map<SummaryKey, bool> tried;  // whether the message holds the summary
  queue_.Take(RetransmitLimit(), [&](base::NodeId node, AccuserTag accuser) {
    const Member* member = table_.Find(node);
    if (member == nullptr) {
      return true;  // pruned meanwhile: nothing to send, but the transmission counts
    }
    if (IsDeathOrRefutation(*member)) {
      const auto [place, is_new] = tried.try_emplace(SummaryOf(*member), false);
      const std::size_t size = is_new ? AddSummary(place->first, message) : 0;
      if (size > limit - used) {
        message.mutable_summaries()->RemoveLast();
        return false;
      }
      used += size;
      place->second = place->second || size > 0;
      if (place->second) {
        return true;
      }
    }
    const std::size_t size = AddUpdate(*member, accuser, limit - used, message);
    used += size;
    return size > 0;
  });
  updates_.TryTake(used, now_);
  return used;
}

std::size_t Outbox::AddSummary(const SummaryKey& key, proto::MembershipMessage& message) const {
  proto::GroupSummary& summary = *message.add_summaries();
  const auto members = static_cast<double>(EncodeSummary(table_, key, summary));
  const std::size_t size = summary.ByteSizeLong() + kFieldHeaderBytes;
  if (static_cast<double>(size) > options_.summary_bytes_per_member * members) {
    message.mutable_summaries()->RemoveLast();
    return 0;
  }
  return size;
}

std::size_t Outbox::AddUpdate(const Member& member, AccuserTag accuser, std::size_t room,
                              proto::MembershipMessage& message) const {
  const FingerprintIndex& index = table_.Fingerprints();
  const Fingerprint now_at = FingerprintIndex::Of(member);
  const bool has_short_form = index.Find(now_at) == member.node;
  const bool is_refutation = member.state == MemberState::kAlive;
  if (has_short_form && IsDeathOrRefutation(member)) {
    if (room < sizeof(Fingerprint)) {
      return 0;
    }
    if (is_refutation) {
      const base::Incarnation refuted(member.incarnation.value() - 1);
      message.add_refuted(FingerprintIndex::Of(member.node, refuted, member.metadata_version));
    } else {
      message.add_dead(now_at);
    }
    return sizeof(Fingerprint);
  }
  proto::MemberRecord& record = *message.add_updates();
  EncodeRecord(member, RecordDetail::kUpdate, accuser, record);
  const std::size_t size = record.ByteSizeLong() + kFieldHeaderBytes;
  if (size > room) {
    message.mutable_updates()->RemoveLast();
    return 0;
  }
  return size;
}

void Outbox::AppendMessage(const base::SocketAddress& destination,
                           const proto::MembershipMessage& message, SendPriority priority,
                           std::size_t update_bytes) {
  actions_->messages.push_back({destination, message.SerializeAsString()});
  const std::size_t size = actions_->messages.back().payload.size() + kEnvelopeBytes;
  const std::size_t piggybacked_bytes = std::min(update_bytes, size);
  bytes_.RecordSent(size - piggybacked_bytes, priority, now_);
  bytes_.RecordSent(piggybacked_bytes, SendPriority::kRepair, now_);
}

}  // namespace gaugevalve::membership
