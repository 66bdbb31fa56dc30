#include "outbox.h"

#include <algorithm>
#include <cmath>

namespace gaugevalve::membership {

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
  if (message.updates_size() == 0) {
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
  constexpr std::size_t kFieldHeaderBytes = 3;  // tag and length before each record
  const std::size_t limit =
      std::min<std::size_t>(options_.update_bytes_per_message, budget_.Available(now_));
  std::size_t used = 0;
  queue_.Take(RetransmitLimit(), [&](base::NodeId node, AccuserTag accuser) {
    const Member* member = table_.Find(node);
    if (member == nullptr) {
      return true;  // forgotten meanwhile: nothing to send, the entry wears off
    }
    proto::MemberRecord& record = *message.add_updates();
    EncodeRecord(*member, RecordDetail::kUpdate, accuser, record);
    const std::size_t size = record.ByteSizeLong() + kFieldHeaderBytes;
    if (used + size > limit) {
      message.mutable_updates()->RemoveLast();
      return false;
    }
    used += size;
    return true;
  });
  budget_.TryTake(used, now_);
}

void Outbox::Post(const base::SocketAddress& destination, const proto::MembershipMessage& message) {
  actions_->messages.push_back({destination, message.SerializeAsString()});
}

}  // namespace gaugevalve::membership
