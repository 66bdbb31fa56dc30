#include "outbox.h"

#include <algorithm>
#include <cmath>

#include "absl/container/btree_map.h"

namespace gaugevalve::membership {
namespace {

constexpr std::size_t kFieldHeaderBytes = 3;  // tag and length before each record

// Whether a member's news has a short form: receivers have its metadata already.
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
      budget_(options.update_bytes_per_second, options.update_burst_bytes) {}

void Outbox::BeginCall(base::TimePoint now, MembershipActions& actions) {
  now_ = now;
  actions_ = &actions;
}

void Outbox::Send(const base::SocketAddress& destination, proto::MembershipMessage& message) {
  AddUpdates(message);
  Post(destination, message);
}

void Outbox::SendTo(const Member& member, proto::MembershipMessage& message) {
  if (member.state != MemberState::kAlive) {
    EncodeRecord(member, RecordDetail::kState, MakeAccuserTag(self_), *message.add_updates());
  }
  Send(member.metadata->control_address, message);
}

bool Outbox::SendUpdates(const Member& member) {
  proto::MembershipMessage message;
  AddUpdates(message);
  if (message.updates_size() + message.dead_size() + message.refuted_size() +
          message.summaries_size() ==
      0) {
    return false;
  }
  Post(member.metadata->control_address, message);
  return true;
}

void Outbox::Introduce(proto::MembershipMessage& message) const {
  EncodeRecord(*table_.Find(self_), RecordDetail::kFull, 0, *message.add_updates());
}

std::uint32_t Outbox::RetransmitLimit() const {
  constexpr std::uint32_t kFewest = 4;
  const double members = static_cast<double>(table_.LiveCount()) + 1;
  const double limit = std::ceil(options_.retransmit_factor * std::log10(members));
  return std::max(kFewest, static_cast<std::uint32_t>(limit));
}

void Outbox::AddUpdates(proto::MembershipMessage& message) {
  if (queue_.empty()) {
    return;
  }
  const std::size_t limit =
      std::min<std::size_t>(options_.update_bytes_per_message, budget_.Available(now_));
  std::size_t used = 0;
  absl::btree_map<SummaryKey, bool> tried;  // whether the message holds the summary
  queue_.Take(RetransmitLimit(), [&](base::NodeId node, AccuserTag accuser) {
    const Member* member = table_.Find(node);
    if (member == nullptr) {
      return true;  // forgotten meanwhile: nothing to send, the entry wears off
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
  budget_.TryTake(used, now_);
}

std::size_t Outbox::AddSummary(const SummaryKey& key, proto::MembershipMessage& message) const {
  proto::GroupSummary& summary = *message.add_summaries();
  if (EncodeSummary(table_, key, summary) < options_.fewest_members_in_summary) {
    message.mutable_summaries()->RemoveLast();
    return 0;
  }
  return summary.ByteSizeLong() + kFieldHeaderBytes;
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

void Outbox::Post(const base::SocketAddress& destination, const proto::MembershipMessage& message) {
  actions_->messages.push_back({destination, message.SerializeAsString()});
}

}  // namespace gaugevalve::membership
