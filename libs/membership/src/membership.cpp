#include "gaugevalve/membership/membership.h"

#include <utility>

#include "membership_core.h"

namespace gaugevalve::membership {

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
