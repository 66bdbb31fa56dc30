#include "failure_detector.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace gaugevalve::membership {

FailureDetector::FailureDetector(base::NodeId self, const MembershipOptions& options,
                                 const MemberTable& table, const ProximityJudge& judge,
                                 const PeerSelector& selector, Outbox& outbox, LocalHealth& health,
                                 MembershipCounters& counters, FailureListener listener)
    : self_(self),
      options_(options),
      table_(table),
      judge_(judge),
      selector_(selector),
      outbox_(outbox),
      health_(health),
      counters_(counters),
      listener_(std::move(listener)),
      rings_(self) {}

void FailureDetector::OnMemberChanged(const Member& member) {
  rings_.OnMemberChanged(member, judge_.Of(*member.metadata));
}

void FailureDetector::OnSuspected(const Member& member, base::TimePoint now) {
  if (rings_.Watches(member.node)) {
    StartProbe(member, now);
  }
}

void FailureDetector::OnPause(base::TimePoint now) {
  probes_.clear();
  relays_.clear();
  next_probe_at_ = now + options_.probe_interval;
}

void FailureDetector::OnPing(const transport::SenderIdentity& sender, const proto::Ping& ping) {
  if (ping.target() != self_.value()) {
    return;
  }
  proto::MembershipMessage message;
  message.mutable_ack()->set_sequence(ping.sequence());
  message.mutable_ack()->set_target(self_.value());
  outbox_.Send(sender.control_address, message, Urgency::kAnswer);
}

void FailureDetector::OnIndirectPing(const transport::SenderIdentity& sender,
                                     const proto::IndirectPing& request, base::TimePoint now) {
  const auto target_address = DecodeAddress(request.target_address());
  if (!target_address || relays_.size() >= kMaximumRelays) {
    return;
  }
  const std::uint32_t sequence = ++last_sequence_;
  relays_[sequence] = {base::NodeId(request.target()), sender.control_address, request.sequence(),
                       now + options_.direct_timeout};
  proto::MembershipMessage message;
  message.mutable_ping()->set_sequence(sequence);
  message.mutable_ping()->set_target(request.target());
  if (!outbox_.Send(*target_address, message, Urgency::kProbe)) {
    relays_.erase(sequence);
  }
}

void FailureDetector::OnAck(const proto::Ack& ack) {
  const base::NodeId target(ack.target());
  const auto probe = probes_.find(ack.sequence());
  if (probe != probes_.end() && probe->second.target == target) {
    probes_.erase(probe);
    health_.NoteGoodSign();
    return;
  }
  const auto relay = relays_.find(ack.sequence());
  if (relay != relays_.end() && relay->second.target == target) {
    proto::MembershipMessage message;
    message.mutable_ack()->set_sequence(relay->second.requester_sequence);
    message.mutable_ack()->set_target(ack.target());
    outbox_.Send(relay->second.requester, message, Urgency::kAnswer);
    relays_.erase(relay);
  }
}

void FailureDetector::OnNack(const proto::Nack& nack) {
  const auto probe = probes_.find(nack.sequence());
  if (probe != probes_.end()) {
    probe->second.relay_is_well = true;
  }
}

void FailureDetector::Greet(const Member& member) {
  proto::MembershipMessage message;
  message.mutable_ping()->set_sequence(++last_sequence_);
  message.mutable_ping()->set_target(member.node.value());
  outbox_.SendTo(member, message, Urgency::kRepair);
}

void FailureDetector::OnTick(base::TimePoint now) {
  ContinueProbes(now);
  GiveUpRelays(now);
  if (now < next_probe_at_) {
    return;
  }
  next_probe_at_ = now + options_.probe_interval;
  const std::optional<base::NodeId> target = rings_.Next(table_, judge_);
  if (target) {
    StartProbe(*table_.Find(*target), now);
  }
}

base::TimePoint FailureDetector::NextWakeUp() const {
  base::TimePoint earliest = next_probe_at_;
  for (const auto& [sequence, probe] : probes_) {
    earliest = std::min(earliest, probe.is_relayed ? probe.fail_at : probe.relay_at);
  }
  for (const auto& [sequence, relay] : relays_) {
    earliest = std::min(earliest, relay.give_up_at);
  }
  return earliest;
}

void FailureDetector::StartProbe(const Member& member, base::TimePoint now) {
  if (probes_.size() >= kMaximumProbes || IsProbing(member.node)) {
    return;
  }
  const std::uint32_t sequence = ++last_sequence_;
  Probe probe;
  probe.target = member.node;
  probe.relay_at = now + health_.Stretch(options_.direct_timeout);
  probe.fail_at = now + health_.Stretch(options_.probe_timeout);
  proto::MembershipMessage message;
  message.mutable_ping()->set_sequence(sequence);
  message.mutable_ping()->set_target(member.node.value());
  message.mutable_ping()->set_view_digest(table_.Digest().Whole());
  if (outbox_.SendTo(member, message, Urgency::kProbe)) {
    probes_[sequence] = probe;
    ++counters_.probes_started;
  }
}

bool FailureDetector::IsProbing(base::NodeId node) const {
  return std::any_of(probes_.begin(), probes_.end(),
                     [node](const auto& entry) { return entry.second.target == node; });
}

void FailureDetector::AskRelays(std::uint32_t sequence, const Probe& probe) {
  const Member* target = table_.Find(probe.target);
  if (target == nullptr) {
    return;
  }
  for (const Member* relay : selector_.LivePeers(options_.relays, probe.target)) {
    proto::MembershipMessage message;
    proto::IndirectPing& request = *message.mutable_indirect_ping();
    request.set_sequence(sequence);
    request.set_target(probe.target.value());
    EncodeAddress(target->metadata->control_address, *request.mutable_target_address());
    ++counters_.indirect_probes;
    outbox_.SendTo(*relay, message, Urgency::kProbe);
  }
}

void FailureDetector::ContinueProbes(base::TimePoint now) {
  std::vector<Probe> failed;
  for (auto place = probes_.begin(); place != probes_.end();) {
    auto& [sequence, probe] = *place;
    if (!probe.is_relayed && now >= probe.relay_at) {
      probe.is_relayed = true;
      AskRelays(sequence, probe);
    }
    if (now >= probe.fail_at) {
      failed.push_back(probe);
      place = probes_.erase(place);
    } else {
      ++place;
    }
  }
  for (const Probe& probe : failed) {
    Fail(probe, now);
  }
}

void FailureDetector::Fail(const Probe& probe, base::TimePoint now) {
  ++counters_.probes_failed;
  if (!probe.relay_is_well) {
    health_.NoteBadSign();
  }
  const Member* member = table_.Find(probe.target);
  if (member == nullptr || !IsLive(member->state)) {
    return;
  }
  listener_(*member);
  for (const base::NodeId target : rings_.NewTargets(table_, judge_)) {
    StartProbe(*table_.Find(target), now);
  }
}

void FailureDetector::GiveUpRelays(base::TimePoint now) {
  for (auto place = relays_.begin(); place != relays_.end();) {
    if (now < place->second.give_up_at) {
      ++place;
      continue;
    }
    proto::MembershipMessage message;
    message.mutable_nack()->set_sequence(place->second.requester_sequence);
    outbox_.Send(place->second.requester, message, Urgency::kAnswer);
    place = relays_.erase(place);
  }
}

}  // namespace gaugevalve::membership
