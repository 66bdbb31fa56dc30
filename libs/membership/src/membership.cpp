#include "gaugevalve/membership/membership.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

#include "failure_detector.h"
#include "gossip_peers.h"
#include "group_summary.h"
#include "local_health.h"
#include "member_table.h"
#include "outbox.h"
#include "peer_selector.h"
#include "state_exchange.h"
#include "suspicion_tracker.h"
#include "update_queue.h"

namespace gaugevalve::membership {
namespace {

// The longest time between two ticks; bounds how long a pause can go unnoticed.
constexpr base::Duration kLongestSleep = std::chrono::milliseconds(500);
constexpr base::Duration kForgetInterval = std::chrono::seconds(10);
// In small groups, too, a suspicion must outlast a brief stall of the suspected machine.
constexpr double kSmallestSuspicionScale = 2.5;
// Accusers besides the first that shorten a suspicion to its minimum.
constexpr std::size_t kExpectedConfirmations = 2;
// Expected number of members that tell one which was taken for dead; all fail to in one of 10^7.
constexpr double kTellersOfDeath = 16;
// With this many updates waiting, suspicions by others aren't passed on.
constexpr std::size_t kManyUpdates = 64;
// For this long after a dead member answered, others are tried faster.
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
  self.incarnation = metadata.life;
  self.metadata_version = metadata.life;
  self.metadata = std::make_shared<MemberMetadata>(metadata);
  return self;
}

}  // namespace

class Membership::Implementation {
 public:
  Implementation(base::NodeId node, const MemberMetadata& metadata, MembershipOptions options,
                 std::uint64_t seed)
      : options_(std::move(options)),
        random_(seed),
        judge_(metadata.region, metadata.zone),
        self_(MakeSelf(node, metadata)),
        table_(options_.maximum_members),
        selector_(node, table_, judge_, random_),
        outbox_(node, options_, table_, queue_),
        detector_(node, options_, table_, judge_, selector_, outbox_, health_, counters_,
                  [this](const Member& member) { Suspect(member); }),
        exchange_(node, options_, table_, selector_, outbox_, random_, counters_,
                  [this](const MemberRecord& record, const transport::SenderIdentity&) {
                    TakeRecord(record);
                  }),
        gossip_peers_(options_, table_, selector_, random_) {
    table_.Put(self_);
  }

  void Start(base::TimePoint now, MembershipActions& actions) {
    BeginCall(now, actions);
    last_tick_at_ = now;
    next_gossip_at_ = now;
    next_heal_at_ = now + random_.NextJitter(options_.heal_interval);
    next_forget_at_ = now + kForgetInterval;
    detector_.Start(now + random_.NextJitter(options_.probe_interval));
    exchange_.Start(now);
    queue_.Enqueue(self_.node, 0);
  }

  void OnMessage(const transport::SenderIdentity& sender, std::string_view payload,
                 base::TimePoint now, MembershipActions& actions) {
    BeginCall(now, actions);
    NoticePause();
    proto::MembershipMessage message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
      ++counters_.malformed_messages;
      return;
    }
    if (is_superseded_ || sender.node == self_.node) {
      return;
    }
    TakeUpdates(message);
    CheckSender(sender, message.body_case() != proto::MembershipMessage::BODY_NOT_SET);
    Dispatch(sender, message);
    exchange_.AskForMissing(sender.control_address, now_);
  }

  void OnTick(base::TimePoint now, MembershipActions& actions) {
    BeginCall(now, actions);
    NoticePause();
    last_tick_at_ = now;
    if (is_superseded_) {
      return;
    }
    if (self_.state == MemberState::kAlive) {
      detector_.OnTick(now);
      exchange_.OnTick(now);
      Heal();
    }
    PassVerdicts();
    Gossip();
    Forget();
  }

  base::TimePoint NextWakeUp() const {
    base::TimePoint earliest = last_tick_at_ + kLongestSleep;
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

  void UpdateMetadata(const MemberMetadata& metadata, base::TimePoint now,
                      MembershipActions& actions) {
    RequireShortNames(metadata);
    BeginCall(now, actions);
    auto changed = std::make_shared<MemberMetadata>(metadata);
    changed->life = self_.metadata->life;
    self_.metadata = std::move(changed);
    self_.incarnation = base::Incarnation(self_.incarnation.value() + 1);
    self_.metadata_version = self_.incarnation;
    PublishSelf();
  }

  void Leave(base::TimePoint now, MembershipActions& actions) {
    BeginCall(now, actions);
    self_.state = MemberState::kLeft;
    PublishSelf();
    for (const Member* peer : gossip_peers_.Choose(options_.gossip_peers, now)) {
      outbox_.SendUpdates(*peer);
    }
  }

  void Preload(std::span<const Member> members) {
    for (const Member& member : members) {
      if (member.node != self_.node) {
        table_.Put(member);
      }
    }
  }

  const Member& Self() const { return self_; }
  const MemberTable& Table() const { return table_; }
  const UpdateQueue& Queue() const { return queue_; }
  const MembershipCounters& Counters() const { return counters_; }
  bool IsJoined() const { return exchange_.IsJoined(); }

 private:
  void BeginCall(base::TimePoint now, MembershipActions& actions) {
    now_ = now;
    actions_ = &actions;
    outbox_.BeginCall(now, actions);
  }

  void Report(EventKind kind, const Member& member, base::Duration pause = {}) {
    actions_->events.push_back({kind, member, pause});
  }

  // A node that stood still missed answers and refutations: it starts its judgements anew.
  void NoticePause() {
    const base::Duration gap = now_ - last_tick_at_;
    if (gap <= options_.pause_threshold) {
      return;
    }
    last_tick_at_ = now_;
    health_.NotePause();
    detector_.OnPause(now_);
    suspicions_.Postpone(gap);
    Report(EventKind::kSelfPaused, self_, gap);
  }

  void TakeUpdates(const proto::MembershipMessage& message) {
    for (const proto::MemberRecord& encoded : message.updates()) {
      const std::optional<MemberRecord> record = DecodeRecord(encoded);
      if (record) {
        TakeRecord(*record);
      } else {
        ++counters_.malformed_messages;
      }
    }
    for (const proto::GroupSummary& summary : message.summaries()) {
      for (const MemberRecord& record :
           DecodeSummary(table_, summary, options_.faults.trust_any_group_base)) {
        TakeRecord(record);
      }
    }
    for (const Fingerprint fingerprint : message.dead()) {
      TakeShortUpdate(fingerprint, MemberState::kDead);
    }
    for (const Fingerprint fingerprint : message.refuted()) {
      TakeShortUpdate(fingerprint, MemberState::kAlive);
    }
  }

  // Takes a death at the incarnation known here, or a refutation: alive at the next one. One that
  // is about an incarnation unknown here is left to the comparison of digests.
  void TakeShortUpdate(Fingerprint fingerprint, MemberState state) {
    const std::optional<base::NodeId> node = table_.Fingerprints().Find(fingerprint);
    if (!node) {
      return;
    }
    const Member* member = table_.Find(*node);
    const std::uint64_t step = state == MemberState::kAlive ? 1 : 0;
    TakeRecord({*node, base::Incarnation(member->incarnation.value() + step),
                member->metadata_version, state, nullptr, 0});
  }

  void TakeRecord(const MemberRecord& record) {
    if (record.node == self_.node) {
      TakeRecordOfSelf(record);
      return;
    }
    const MergeResult result = options_.faults.accept_older_incarnations
                                   ? table_.MergeWithoutOrder(record, now_)
                                   : table_.Merge(record, now_);
    switch (result.outcome) {
      case MergeOutcome::kIgnored:
        return;
      case MergeOutcome::kSame:
        ConfirmSuspicion(record);
        return;
      case MergeOutcome::kNeedsMetadata:
        exchange_.NoteMissing(record.node);
        return;
      case MergeOutcome::kRefused:
        ++counters_.members_refused;
        return;
      case MergeOutcome::kChanged:
        AfterChange(record.node, result.previous, record.accuser);
        return;
    }
  }

  // What others say about this node. Only a higher incarnation of its own ends a wrong belief.
  void TakeRecordOfSelf(const MemberRecord& record) {
    NoteDeath(record);
    const bool is_known =
        record.incarnation < self_.incarnation ||
        (record.incarnation == self_.incarnation && record.state == MemberState::kAlive);
    if (is_known || self_.state == MemberState::kLeft || options_.faults.never_refute) {
      return;
    }
    const bool is_of_another_life = record.metadata_version > self_.metadata_version;
    if (is_of_another_life && record.state == MemberState::kAlive && IsJoined()) {
      is_superseded_ = true;
      Report(EventKind::kSelfSuperseded, self_);
      return;
    }
    Refute(record);
  }

  void Refute(const MemberRecord& record) {
    const bool clock_went_back = record.incarnation > self_.incarnation;
    self_.incarnation = base::Incarnation(record.incarnation.value() + 1);
    if (clock_went_back) {
      self_.metadata_version = self_.incarnation;  // others may hold a former life's metadata
    }
    ++counters_.refutations;
    health_.NoteBadSign();
    PublishSelf();
  }

  // A death may be heard of after it was refuted together with the suspicion before it.
  void NoteDeath(const MemberRecord& record) {
    const bool is_of_this_life = IsJoined() && record.incarnation >= self_.metadata->life;
    if (record.state != MemberState::kDead || !is_of_this_life ||
        record.incarnation <= last_noted_death_ || options_.faults.never_refute) {
      return;
    }
    last_noted_death_ = record.incarnation;
    Report(EventKind::kSelfDeclaredDead, self_);
  }

  void PublishSelf() {
    table_.Put(self_);
    queue_.Enqueue(self_.node, 0);
  }

  void ConfirmSuspicion(const MemberRecord& record) {
    if (record.state == MemberState::kSuspect &&
        suspicions_.Confirm(record.node, record.incarnation, record.accuser)) {
      SpreadChange(*table_.Find(record.node), record.accuser);
    }
  }

  // Passes news on. When there is very much of it, as at the loss of a zone, suspicions by others
  // are left out: verdicts matter more, and come without confirmation too, only later.
  void SpreadChange(const Member& member, AccuserTag accuser) {
    const bool is_own = accuser == MakeAccuserTag(self_.node);
    if (member.state != MemberState::kSuspect || is_own || queue_.size() < kManyUpdates) {
      queue_.Enqueue(member.node, accuser);
    }
  }

  void AfterChange(base::NodeId node, const std::optional<PreviousKnowledge>& previous,
                   AccuserTag accuser) {
    const Member member = *table_.Find(node);
    detector_.OnMemberChanged(member);
    SpreadChange(member, accuser);
    ReportChange(member, previous);
    if (previous && previous->state == MemberState::kDead) {
      TellOfDeath(member, *previous);
    }
    if (member.state != MemberState::kSuspect) {
      suspicions_.Stop(node);
      return;
    }
    suspicions_.Start(node, member.incarnation, accuser, CurrentSuspicionLimits(), now_);
    detector_.OnSuspected(member, now_);
  }

  // Tells a member that was taken for dead of it: its refutation may have been of the suspicion
  // alone, and travels faster. A few of the many that saw it are enough.
  void TellOfDeath(const Member& member, const PreviousKnowledge& previous) {
    const bool is_same_life = member.metadata->life == previous.life;
    const double share = kTellersOfDeath / static_cast<double>(table_.LiveCount());
    if (!IsLive(member.state) || !is_same_life || random_.NextUnit() >= share) {
      return;
    }
    Member death = member;
    death.incarnation = previous.incarnation;
    death.metadata_version = previous.metadata_version;
    death.state = MemberState::kDead;
    proto::MembershipMessage message;
    EncodeRecord(death, RecordDetail::kState, 0, *message.add_updates());
    outbox_.Send(member.metadata->control_address, message, Urgency::kProbe);
  }

  void ReportChange(const Member& member, const std::optional<PreviousKnowledge>& previous) {
    const bool was_live = previous && IsLive(previous->state);
    if (!IsLive(member.state)) {
      if (was_live) {
        Report(member.state == MemberState::kDead ? EventKind::kFailed : EventKind::kLeft, member);
      }
      return;
    }
    if (!was_live) {
      Report(EventKind::kJoined, member);
    } else if (member.metadata->life != previous->life) {
      Report(EventKind::kRestarted, member);
    } else if (member.metadata_version != previous->metadata_version) {
      Report(EventKind::kChanged, member);
    }
    if (member.state == MemberState::kSuspect) {
      Report(EventKind::kSuspected, member);
    } else if (was_live && previous->state == MemberState::kSuspect) {
      Report(EventKind::kRecovered, member);
    }
  }

  SuspicionLimits CurrentSuspicionLimits() const {
    const double members = static_cast<double>(table_.LiveCount()) + 1;
    const double scale = std::max(kSmallestSuspicionScale, std::log10(members));
    const double minimum =
        static_cast<double>(options_.probe_interval.count()) * options_.suspicion_intervals * scale;
    const double maximum = minimum * options_.unconfirmed_suspicion_factor;
    const std::size_t others = table_.LiveCount() > 2 ? table_.LiveCount() - 2 : 0;
    return {health_.Stretch(base::Duration(static_cast<base::Duration::rep>(minimum))),
            health_.Stretch(base::Duration(static_cast<base::Duration::rep>(maximum))),
            std::min(kExpectedConfirmations, others)};
  }

  // This node's own probe of the member failed.
  void Suspect(const Member& member) {
    ++counters_.suspicions_started;
    TakeRecord({member.node, member.incarnation, member.metadata_version, MemberState::kSuspect,
                nullptr, MakeAccuserTag(self_.node)});
  }

  void PassVerdicts() {
    while (const auto verdict = suspicions_.TakeExpired(now_)) {
      const Member* member = table_.Find(verdict->node);
      if (member != nullptr && member->incarnation == verdict->incarnation) {
        TakeRecord({member->node, member->incarnation, member->metadata_version, MemberState::kDead,
                    nullptr, 0});
      }
    }
  }

  // Asks a sender who it is, or tells it what it should know about itself: the latter not in answer
  // to mere updates, or two nodes that took each other for gone would go on for ever.
  void CheckSender(const transport::SenderIdentity& sender, bool may_answer) {
    const Member* member = table_.Find(sender.node);
    if (member == nullptr || member->incarnation < sender.incarnation) {
      exchange_.NoteMissing(sender.node);
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
    outbox_.Send(sender.control_address, message, Urgency::kProbe);
  }

  void Dispatch(const transport::SenderIdentity& sender, const proto::MembershipMessage& message) {
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
        return;  // updates alone, or a kind of a later release
    }
  }

  void Gossip() {
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

  // Tries a member taken for dead: after a split the two sides find each other again.
  void Heal() {
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
      detector_.Greet(*dead);
    }
  }

  void Forget() {
    if (now_ >= next_forget_at_) {
      next_forget_at_ = now_ + kForgetInterval;
      table_.Forget(now_ - options_.remember_dead);
    }
  }

  MembershipOptions options_;
  base::RandomSource random_;
  ProximityJudge judge_;
  Member self_;
  MemberTable table_;
  UpdateQueue queue_;
  LocalHealth health_;
  MembershipCounters counters_;
  SuspicionTracker suspicions_;
  PeerSelector selector_;
  Outbox outbox_;
  FailureDetector detector_;
  StateExchange exchange_;
  GossipPeers gossip_peers_;

  base::TimePoint now_{};  // of the present call
  MembershipActions* actions_ = nullptr;
  base::TimePoint last_tick_at_{};
  base::TimePoint next_gossip_at_{};
  base::TimePoint next_heal_at_{};
  base::TimePoint fast_heal_until_{};
  base::TimePoint next_forget_at_{};
  base::Incarnation last_noted_death_;
  bool is_superseded_ = false;
};

Membership::Membership(base::NodeId node, const MemberMetadata& metadata, MembershipOptions options,
                       std::uint64_t seed)
    : implementation_(std::make_unique<Implementation>(node, metadata, std::move(options), seed)) {}

Membership::~Membership() = default;

void Membership::Start(base::TimePoint now, MembershipActions& actions) {
  implementation_->Start(now, actions);
}

void Membership::OnMessage(const transport::SenderIdentity& sender, std::string_view payload,
                           base::TimePoint now, MembershipActions& actions) {
  implementation_->OnMessage(sender, payload, now, actions);
}

void Membership::OnTick(base::TimePoint now, MembershipActions& actions) {
  implementation_->OnTick(now, actions);
}

base::TimePoint Membership::NextWakeUp() const { return implementation_->NextWakeUp(); }

void Membership::UpdateMetadata(const MemberMetadata& metadata, base::TimePoint now,
                                MembershipActions& actions) {
  implementation_->UpdateMetadata(metadata, now, actions);
}

void Membership::Leave(base::TimePoint now, MembershipActions& actions) {
  implementation_->Leave(now, actions);
}

void Membership::Preload(std::span<const Member> members) { implementation_->Preload(members); }

const Member& Membership::Self() const { return implementation_->Self(); }

bool Membership::IsJoined() const { return implementation_->IsJoined(); }

std::optional<Member> Membership::Find(base::NodeId node) const {
  const Member* member = implementation_->Table().Find(node);
  return member == nullptr ? std::nullopt : std::optional<Member>(*member);
}

void Membership::ForEach(const std::function<void(const Member&)>& visit) const {
  for (const auto& [node, member] : implementation_->Table().Members()) {
    visit(member);
  }
}

std::size_t Membership::LiveCount() const { return implementation_->Table().LiveCount(); }

std::size_t Membership::PendingUpdates() const { return implementation_->Queue().size(); }

const MembershipCounters& Membership::Counters() const { return implementation_->Counters(); }

}  // namespace gaugevalve::membership
