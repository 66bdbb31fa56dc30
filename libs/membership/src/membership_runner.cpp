#include "gaugevalve/membership/membership_runner.h"

#include <utility>

namespace gaugevalve::membership {

MembershipRunner::MembershipRunner(Membership& core, transport::PeerTransport& transport,
                                   const base::Clock& clock, Listener listener)
    : core_(core), transport_(transport), clock_(clock), listener_(std::move(listener)) {
  transport_.SetReceiver(
      transport::MessageKind::kMembership, [this](const transport::Envelope& envelope) {
        MembershipActions actions;
        core_.OnMessage(envelope.sender, envelope.payload, clock_.Now(), actions);
        Perform(actions);
      });
}

MembershipRunner::~MembershipRunner() {
  transport_.SetReceiver(transport::MessageKind::kMembership, {});
}

void MembershipRunner::Start() {
  MembershipActions actions;
  core_.Start(clock_.Now(), actions);
  Perform(actions);
}

void MembershipRunner::Tick() {
  MembershipActions actions;
  core_.OnTick(clock_.Now(), actions);
  Perform(actions);
}

void MembershipRunner::UpdateMetadata(const MemberMetadata& metadata) {
  MembershipActions actions;
  core_.UpdateMetadata(metadata, clock_.Now(), actions);
  Perform(actions);
}

void MembershipRunner::Leave() {
  MembershipActions actions;
  core_.Leave(clock_.Now(), actions);
  Perform(actions);
}

void MembershipRunner::Perform(const MembershipActions& actions) {
  transport_.SetIncarnation(core_.Self().incarnation);
  for (const OutgoingMessage& message : actions.messages) {
    transport_.Send(message.destination, transport::MessageKind::kMembership, message.payload);
  }
  for (const MembershipEvent& event : actions.events) {
    listener_(event);
  }
}

}  // namespace gaugevalve::membership
