#include "gaugevalve/flow/bucket_ownership.h"

#include <algorithm>

namespace gaugevalve::flow {
namespace {

OwnershipDecision Drop(DropReason reason) { return {Verdict::kDrop, {}, reason, false}; }

OwnershipDecision Serve(bool confirms) { return {Verdict::kServe, {}, {}, confirms}; }

}  // namespace

void BucketOwnership::UpdateTable(const routing::BucketTable& table, base::TimePoint confirmed_at) {
  const bool other_size = !entries_.empty() && entries_.size() != table.buckets.size();
  if (table.service != identity_.service || table.version < table_version_ || other_size) {
    return;
  }
  entries_.resize(table.buckets.size());
  for (std::size_t position = 0; position < entries_.size(); ++position) {
    if (table.buckets[position].version >= entries_[position].version) {
      const base::BucketIndex index(static_cast<std::uint16_t>(position));
      entries_[position] = wire::ResolveBucket(table, index);
    }
  }
  table_version_ = table.version;
  confirmed_at_ = std::max(confirmed_at_, confirmed_at);
  const routing::AgentEntry* const self = table.FindAgent(identity_.node);
  is_listed_ = self != nullptr && self->incarnation >= identity_.incarnation;
  others_are_listed_ = table.agents.size() > (self != nullptr ? 1U : 0U);
}

void BucketOwnership::NoteTime(base::TimePoint now) {
  CheckPause(now);
  noted_at_ = now;
}

void BucketOwnership::CheckPause(base::TimePoint now) {
  if (noted_at_ < now - settings_.pause_threshold) {
    resumed_at_ = now;
    noted_at_ = now;
  }
}

void BucketOwnership::StartDraining(base::TimePoint now) {
  draining_since_ = draining_since_.value_or(now);
}

std::optional<DropReason> BucketOwnership::ReconcileEntry(wire::ForwardingHeader& header,
                                                          std::uint64_t flow_key_hash) {
  if (header.service != identity_.service) {
    return DropReason::kForeignService;
  }
  if (header.target != identity_.node) {
    return DropReason::kForeignTarget;
  }
  if (entries_.empty()) {
    return DropReason::kNoTable;
  }
  if (header.bucket.value() != flow_key_hash % entries_.size()) {
    return DropReason::kWrongBucket;
  }
  wire::BucketEntry& known = entries_[header.bucket.value()];
  if (header.entry.version > known.version) {
    known = header.entry;
    return std::nullopt;
  }
  const bool on_walk = header.walk != wire::ChainWalk::kNotStarted;
  if (on_walk && header.entry.version == known.version) {
    return std::nullopt;  // the walk goes on along the list on which it began
  }
  header.entry = known;
  header.walk = wire::ChainWalk::kNotStarted;
  header.claim = {};
  return std::nullopt;
}

OwnershipDecision BucketOwnership::Decide(wire::ForwardingHeader& header,
                                          const std::optional<routing::TableVersion>& held,
                                          base::TimePoint now) const {
  if (held == header.entry.version) {
    return Serve(false);
  }
  if (header.entry.owner.node == base::NodeId()) {
    return Drop(DropReason::kNoOwner);
  }
  const bool hops_are_spent = header.hop_count >= kMaxHops;
  const bool is_owner = IsSelf(header.entry.owner);
  OwnershipDecision decision;
  if (header.walk == wire::ChainWalk::kFinished) {
    decision = EndWalk(header, held, now);
  } else if (is_owner) {
    decision = StartWalk(header, held, now);
  } else if (header.walk == wire::ChainWalk::kWalking) {
    decision = ContinueWalk(header, held);
  } else {
    decision = PassToOwner(header);
  }
  const bool passes_on = decision.verdict == Verdict::kPassOn;
  return passes_on && hops_are_spent ? Drop(DropReason::kHopLimit) : decision;
}

// At the owner: asks the first previous owner, or decides when there is none.
OwnershipDecision BucketOwnership::StartWalk(wire::ForwardingHeader& header,
                                             const std::optional<routing::TableVersion>& held,
                                             base::TimePoint now) const {
  const auto& chain = header.entry.previous_owners;
  const auto first = std::find_if_not(chain.begin(), chain.end(),
                                      [this](const auto& agent) { return IsSelf(agent); });
  if (first == chain.end()) {
    return held ? Serve(true) : OpenOrRefuse(header.entry, now);
  }
  header.walk = wire::ChainWalk::kWalking;
  header.claim = held ? wire::FlowClaim{identity_.node, *held} : wire::FlowClaim();
  return PassTo(*first, header);
}

// At a previous owner: enters its claim and asks the next one; the last one ends the walk.
OwnershipDecision BucketOwnership::ContinueWalk(
    wire::ForwardingHeader& header, const std::optional<routing::TableVersion>& held) const {
  const auto& chain = header.entry.previous_owners;
  const auto self =
      std::find_if(chain.begin(), chain.end(), [this](const auto& agent) { return IsSelf(agent); });
  if (self == chain.end()) {  // not a stop of this walk
    return PassToOwner(header);
  }
  const bool is_claimed = header.claim.holder != base::NodeId();
  if (held && (!is_claimed || *held > header.claim.confirmed)) {
    header.claim = {identity_.node, *held};
  }
  if (self + 1 != chain.end()) {
    return PassTo(*(self + 1), header);
  }
  header.walk = wire::ChainWalk::kFinished;
  return header.claim.holder == identity_.node ? Serve(true) : PassToClaimant(header);
}

// Where a walk ended: at the agent whose claim is the best, or at the owner when there is none.
OwnershipDecision BucketOwnership::EndWalk(wire::ForwardingHeader& header,
                                           const std::optional<routing::TableVersion>& held,
                                           base::TimePoint now) const {
  const bool is_claimed = header.claim.holder != base::NodeId();
  const bool is_own_claim = header.claim.holder == identity_.node;
  const bool is_owner = IsSelf(header.entry.owner);
  if (is_own_claim && held) {
    return Serve(true);
  }
  if (is_owner && !is_claimed && !held) {
    return OpenOrRefuse(header.entry, now);
  }
  // The claimant has closed the flow since, or the datagram has gone astray: ask anew.
  return is_owner ? StartWalk(header, held, now) : PassToOwner(header);
}

OwnershipDecision BucketOwnership::OpenOrRefuse(const wire::BucketEntry& entry,
                                                base::TimePoint now) const {
  const std::optional<DropReason> reason = ReasonNotToOpen(entry, now);
  return reason ? Drop(*reason) : OwnershipDecision{Verdict::kOpen, {}, {}, true};
}

std::optional<DropReason> BucketOwnership::ReasonNotToOpen(const wire::BucketEntry& entry,
                                                           base::TimePoint now) const {
  const bool is_confirmed = confirmed_at_ >= now - settings_.freshness_limit;
  if (!is_confirmed || confirmed_at_ < resumed_at_) {
    return DropReason::kStaleTable;
  }
  if (!is_listed_) {
    return DropReason::kNotListed;
  }
  if (entry.is_cut) {
    return DropReason::kChainCut;
  }
  const bool grace_is_over = draining_since_ && now - *draining_since_ > settings_.drain_grace;
  if (grace_is_over && others_are_listed_) {
    return DropReason::kDraining;
  }
  return std::nullopt;
}

bool BucketOwnership::IsNamed() const {
  return std::any_of(entries_.begin(), entries_.end(), [this](const wire::BucketEntry& entry) {
    const auto& chain = entry.previous_owners;
    return IsSelf(entry.owner) || std::any_of(chain.begin(), chain.end(),
                                              [this](const auto& agent) { return IsSelf(agent); });
  });
}

OwnershipDecision BucketOwnership::PassToClaimant(wire::ForwardingHeader& header) const {
  const auto& chain = header.entry.previous_owners;
  const auto claimant = std::find_if(chain.begin(), chain.end(), [&](const auto& agent) {
    return agent.node == header.claim.holder;
  });
  return PassTo(claimant == chain.end() ? header.entry.owner : *claimant, header);
}

OwnershipDecision BucketOwnership::PassToOwner(wire::ForwardingHeader& header) {
  header.walk = wire::ChainWalk::kNotStarted;
  header.claim = {};
  return PassTo(header.entry.owner, header);
}

OwnershipDecision BucketOwnership::PassTo(const wire::AgentAddress& agent,
                                          wire::ForwardingHeader& header) {
  header.target = agent.node;
  header.target_incarnation = agent.incarnation;
  ++header.hop_count;
  return {Verdict::kPassOn, agent.data_address, {}, false};
}

}  // namespace gaugevalve::flow
