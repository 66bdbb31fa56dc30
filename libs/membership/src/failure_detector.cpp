#include "failure_detector.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace gaugevalve::membership {

FailureDetector::FailureDetector(base::NodeId self, const MembershipOptions& options,
                                 const MemberTable& table, const ProximityClassifier& classifier,
                                 const PeerSelector& selector, Outbox& outbox, LocalHealth& health,
                                 MembershipCounters& counters, FailureListener listener)
    : self_(self),
      options_(options),
      table_(table),
      classifier_(classifier),
      selector_(selector),
      outbox_(outbox),
      health_(health),
      counters_(counters),
      listener_(std::move(listener)),
      rings_(self) {}

void FailureDetector::OnMemberChanged(const Member& member) {
  rings_.OnMemberChanged(member, classifier_.Of(*member.metadata));
}

void FailureDetector::OnSuspected(const Member& member, base::TimePoint now) {
  if (rings_.IsTarget(member.node)) {
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
  outbox_.Send(sender.control_address, message, SendPriority::kUnlimited);
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
  if (!outbox_.Send(*target_address, message, SendPriority::kProbe)) {
    relays_.erase(sequence);
  }
}

void FailureDetector::OnAck(const proto::Ack& ack) {
  const base::NodeId target(ack.target());
  const auto probe = probes_.find(ack.sequence());
  if (probe != probes_.end() && probe->second.target == target) {
    probes_.erase(probe);
    health_.RecordSuccess();
    return;
  }
  const auto relay = relays_.find(ack.sequence());
  if (relay != relays_.end() && relay->second.target == target) {
    proto::MembershipMessage message;
    message.mutable_ack()->set_sequence(relay->second.requester_sequence);
    message.mutable_ack()->set_target(ack.target());
    outbox_.Send(relay->second.requester, message, SendPriority::kUnlimited);
    relays_.erase(relay);
  }
}

void FailureDetector::OnNack(const proto::Nack& nack) {
  const auto probe = probes_.find(nack.sequence());
  if (probe != probes_.end()) {
    probe->second.received_nack = true;
  }
}

void FailureDetector::PingForReconnect(const Member& member) {
  proto::MembershipMessage message;
  message.mutable_ping()->set_sequence(++last_sequence_);
  message.mutable_ping()->set_target(member.node.value());
  outbox_.SendTo(member, message, SendPriority::kRepair);
}

void FailureDetector::OnTick(base::TimePoint now) {
  AdvanceProbes(now);
  ExpireRelays(now);
  if (now < next_probe_at_) {
    return;
  }
  next_probe_at_ = now + options_.probe_interval;
  const std::optional<base::NodeId> target = rings_.Next(table_, classifier_);
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
    earliest = std::min(earliest, relay.expires_at);
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
  probe.relay_at = now + health_.ScaleTimeout(options_.direct_timeout);
  probe.fail_at = now + health_.ScaleTimeout(options_.probe_timeout);
  proto::MembershipMessage message;
  message.mutable_ping()->set_sequence(sequence);
  message.mutable_ping()->set_target(member.node.value());
  message.mutable_ping()->set_view_digest(table_.Digest().Combined());
  if (outbox_.SendTo(member, message, SendPriority::kProbe)) {
    probes_[sequence] = probe;
    ++counters_.probes_started;
  }
}

bool FailureDetector::IsProbing(base::NodeId node) const {
  return std::any_of(probes_.begin(), probes_.end(),
                     [node](const auto& entry) { return entry.second.target == node; });
}

void FailureDetector::SendIndirectPings(std::uint32_t sequence, const Probe& probe) {
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
    outbox_.SendTo(*relay, message, SendPriority::kProbe);
  }
}

void FailureDetector::AdvanceProbes(base::TimePoint now) {
  std::vector<Probe> failed;
  for (auto place = probes_.begin(); place != probes_.end();) {
    auto& [sequence, probe] = *place;
    if (!probe.is_relayed && now >= probe.relay_at) {
      probe.is_relayed = true;
      SendIndirectPings(sequence, probe);
    }
    if (now >= probe.fail_at) {
      failed.push_back(probe);
      place = probes_.erase(place);
    } else {
      ++place;
    }
  }
  for (const Probe& probe : failed) {
    OnProbeFailed(probe, now);
  }
}

void FailureDetector::OnProbeFailed(const Probe& probe, base::TimePoint now) {
  ++counters_.probes_failed;
  if (!probe.received_nack) {
    health_.RecordFailure();
  }
  const Member* member = table_.Find(probe.target);
  if (member == nullptr || !IsLive(member->state)) {
    return;
  }
  listener_(*member);
  for (const base::NodeId target : rings_.NewTargets(table_, classifier_)) {
    StartProbe(*table_.Find(target), now);
  }
}

void FailureDetector::ExpireRelays(base::TimePoint now) {
  for (auto place = relays_.begin(); place != relays_.end();) {
    if (now < place->second.expires_at) {
      ++place;
      continue;
    }
    proto::MembershipMessage message;
    message.mutable_nack()->set_sequence(place->second.requester_sequence);
    outbox_.Send(place->second.requester, message, SendPriority::kUnlimited);
    place = relays_.erase(place);
  }
}

}  // namespace gaugevalve::membership
