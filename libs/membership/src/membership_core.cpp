#include "membership_core.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace gaugevalve::membership {
namespace {

// The longest time between two ticks; bounds how long a pause can go undetected.
constexpr base::Duration kMaximumTickInterval = std::chrono::milliseconds(500);
constexpr base::Duration kPruneInterval = std::chrono::seconds(10);
// For this long after a dead member has answered, dead members are pinged at the fast interval.
constexpr base::Duration kFastHealPeriod = std::chrono::seconds(30);

void RequireShortNames(const MemberMetadata& metadata) {
  for (const std::string& name : {metadata.region, metadata.zone, metadata.endpoint_name}) {
    if (name.size() > kMaximumNameBytes) {
      throw std::invalid_argument("name longer than " + std::to_string(kMaximumNameBytes) +
                                  " bytes: " + name);
    }
  }
}

Member MakeSelf(base::NodeId node, const MemberMetadata& metadata) {
  RequireShortNames(metadata);
  Member self;
  self.node = node;
  self.incarnation = metadata.process_incarnation;
  self.metadata_version = metadata.process_incarnation;
  self.metadata = std::make_shared<MemberMetadata>(metadata);
  return self;
}

}  // namespace

Membership::Implementation::Implementation(base::NodeId node, const MemberMetadata& metadata,
                                           MembershipOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      classifier_(metadata.region, metadata.zone),
      self_(MakeSelf(node, metadata)),
      table_(options_.maximum_members),
      selector_(node, table_, classifier_, random_),
      outbox_(node, options_, table_, queue_),
      detector_(node, options_, table_, classifier_, selector_, outbox_, health_, counters_,
                [this](const Member& member) { Suspect(member); }),
      exchange_(node, options_, table_, selector_, outbox_, random_, counters_,
                [this](const MemberRecord& record, const transport::SenderIdentity&) {
                  ApplyRecord(record);
                }),
      gossip_peers_(options_, table_, selector_, random_) {
  table_.Put(self_);
}

void Membership::Implementation::Start(base::TimePoint now, MembershipActions& actions) {
  BeginCall(now, actions);
  last_tick_at_ = now;
  next_gossip_at_ = now;
  next_heal_at_ = now + random_.NextJitter(options_.heal_interval);
  next_prune_at_ = now + kPruneInterval;
  detector_.Start(now + random_.NextJitter(options_.probe_interval));
  exchange_.Start(now);
  queue_.Enqueue(self_.node, 0);
}

void Membership::Implementation::OnMessage(const transport::SenderIdentity& sender,
                                           std::string_view payload, base::TimePoint now,
                                           MembershipActions& actions) {
  BeginCall(now, actions);
  DetectPause();
  proto::MembershipMessage message;
  if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
    ++counters_.malformed_messages;
    return;
  }
  if (is_superseded_ || sender.node == self_.node) {
    return;
  }
  ApplyUpdates(message);
  CheckSender(sender, message.body_case() != proto::MembershipMessage::BODY_NOT_SET);
  Dispatch(sender, message);
  exchange_.SendRecordRequests(sender.control_address, now_);
}

void Membership::Implementation::OnTick(base::TimePoint now, MembershipActions& actions) {
  BeginCall(now, actions);
  DetectPause();
  last_tick_at_ = now;
  if (is_superseded_) {
    return;
  }
  if (self_.state == MemberState::kAlive) {
    detector_.OnTick(now);
    exchange_.OnTick(now);
    ProbeDeadMember();
  }
  ExpireSuspicions();
  Gossip();
  PruneDead();
}

base::TimePoint Membership::Implementation::NextWakeUp() const {
  base::TimePoint earliest = last_tick_at_ + kMaximumTickInterval;
  if (is_superseded_) {
    return earliest;
  }
  if (self_.state == MemberState::kAlive) {
    earliest = std::min({earliest, detector_.NextWakeUp(), exchange_.NextWakeUp()});
  }
  if (!queue_.empty()) {
    earliest = std::min(earliest, next_gossip_at_);
  }
  return std::min(earliest, suspicions_.NextDeadline().value_or(earliest));
}

void Membership::Implementation::UpdateMetadata(const MemberMetadata& metadata, base::TimePoint now,
                                                MembershipActions& actions) {
  RequireShortNames(metadata);
  BeginCall(now, actions);
  auto changed = std::make_shared<MemberMetadata>(metadata);
  changed->process_incarnation = self_.metadata->process_incarnation;
  self_.metadata = std::move(changed);
  self_.incarnation = base::Incarnation(self_.incarnation.value() + 1);
  self_.metadata_version = self_.incarnation;
  PublishSelf();
}

void Membership::Implementation::Leave(base::TimePoint now, MembershipActions& actions) {
  BeginCall(now, actions);
  self_.state = MemberState::kLeft;
  PublishSelf();
  for (const Member* peer : gossip_peers_.Choose(options_.gossip_peers, now)) {
    outbox_.SendUpdates(*peer);
  }
}

void Membership::Implementation::Preload(std::span<const Member> members) {
  for (const Member& member : members) {
    if (member.node != self_.node) {
      table_.Put(member);
    }
  }
}

void Membership::Implementation::BeginCall(base::TimePoint now, MembershipActions& actions) {
  now_ = now;
  actions_ = &actions;
  outbox_.BeginCall(now, actions);
}

void Membership::Implementation::EmitEvent(EventKind kind, const Member& member,
                                           base::Duration pause) {
  actions_->events.push_back({kind, member, pause});
}

void Membership::Implementation::DetectPause() {
  const base::Duration gap = now_ - last_tick_at_;
  if (gap <= options_.pause_threshold) {
    return;
  }
  last_tick_at_ = now_;
  health_.RecordPause();
  detector_.OnPause(now_);
  suspicions_.Postpone(gap);
  EmitEvent(EventKind::kSelfPaused, self_, gap);
}

void Membership::Implementation::CheckSender(const transport::SenderIdentity& sender,
                                             bool may_answer) {
  const Member* member = table_.Find(sender.node);
  if (member == nullptr || member->incarnation < sender.incarnation) {
    exchange_.QueueRecordRequest(sender.node);
    return;
  }
  const bool is_outdated = member->incarnation > sender.incarnation;
  if (!may_answer || (member->state == MemberState::kAlive && !is_outdated)) {
    return;
  }
  if (member->state == MemberState::kDead) {
    fast_heal_until_ = now_ + kFastHealPeriod;
    next_heal_at_ = std::min(next_heal_at_, now_ + options_.fast_heal_interval);
  }
  proto::MembershipMessage message;
  EncodeRecord(*member, RecordDetail::kState, MakeAccuserTag(self_.node), *message.add_updates());
  outbox_.Send(sender.control_address, message, SendPriority::kProbe);
}

void Membership::Implementation::Dispatch(const transport::SenderIdentity& sender,
                                          const proto::MembershipMessage& message) {
  switch (message.body_case()) {
    case proto::MembershipMessage::kPing:
      detector_.OnPing(sender, message.ping());
      exchange_.OnViewDigest(sender, message.ping().view_digest(), queue_.empty(), now_);
      return;
    case proto::MembershipMessage::kIndirectPing:
      detector_.OnIndirectPing(sender, message.indirect_ping(), now_);
      return;
    case proto::MembershipMessage::kAck:
      detector_.OnAck(message.ack());
      return;
    case proto::MembershipMessage::kNack:
      detector_.OnNack(message.nack());
      return;
    case proto::MembershipMessage::kStateRequest:
      exchange_.OnStateRequest(sender, message.state_request(), now_);
      return;
    case proto::MembershipMessage::kStatePage:
      exchange_.OnStatePage(sender, message.state_page(), now_);
      return;
    case proto::MembershipMessage::kDigestOffer:
      exchange_.OnDigestOffer(sender, message.digest_offer(), now_);
      return;
    case proto::MembershipMessage::kBucketSummary:
      exchange_.OnBucketSummary(sender, message.bucket_summary());
      return;
    case proto::MembershipMessage::kRecordRequest:
      exchange_.OnRecordRequest(sender, message.record_request());
      return;
    case proto::MembershipMessage::BODY_NOT_SET:
      return;  // updates only, or a message kind of a later release
  }
}

void Membership::Implementation::Gossip() {
  if (queue_.empty() || now_ < next_gossip_at_) {
    return;
  }
  next_gossip_at_ = now_ + options_.gossip_interval;
  for (const Member* peer : gossip_peers_.Choose(options_.gossip_fan_out, now_)) {
    if (!outbox_.SendUpdates(*peer)) {
      return;
    }
  }
}

void Membership::Implementation::ProbeDeadMember() {
  if (now_ < next_heal_at_) {
    return;
  }
  const bool is_fast = now_ < fast_heal_until_;
  next_heal_at_ = now_ + (is_fast ? options_.fast_heal_interval : options_.heal_interval);
  if (table_.DeadCount() == 0) {
    return;
  }
  const Member* dead =
      selector_.Any([](const Member& member) { return member.state == MemberState::kDead; });
  if (dead != nullptr) {
    detector_.PingForReconnect(*dead);
  }
}

void Membership::Implementation::PruneDead() {
  if (now_ >= next_prune_at_) {
    next_prune_at_ = now_ + kPruneInterval;
    table_.PruneDead(now_ - options_.remember_dead);
  }
}

}  // namespace gaugevalve::membership
