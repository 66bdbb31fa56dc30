#include "gaugevalve/membership_simulation/hollow_member.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::membership_simulation {

HollowMember::HollowMember(HollowMemberSettings settings) : settings_(std::move(settings)) {}

HollowMember::~HollowMember() = default;

void HollowMember::OnStart(simulation::NodeContext& context) {
  context_ = &context;
  settings_.metadata.control_address = context.Address();
  transport_ = std::make_unique<simulation::SimulatedTransport>(
      context, transport::SenderIdentity{settings_.node, settings_.metadata.process_incarnation,
                                         context.Address(), settings_.metadata.versions});
  core_ = std::make_unique<membership::Membership>(settings_.node, settings_.metadata,
                                                   settings_.options, settings_.seed);
  if (settings_.preload != nullptr) {
    core_->Preload(*settings_.preload);
  }
  runner_ = std::make_unique<membership::MembershipRunner>(
      *core_, *transport_, context, [this](const membership::MembershipEvent& event) {
        if (settings_.listener) {
          settings_.listener(context_->Index(), event);
        }
      });
  runner_->Start();
  ArmTimer();
}

void HollowMember::OnMessage(const simulation::Message& message) {
  transport_->OnMessage(message);
  ArmTimer();
}

void HollowMember::OnTimer(simulation::TimerToken token) {
  if (token != armed_token_) {
    return;
  }
  armed_at_ = base::TimePoint::max();
  runner_->Tick();
  ArmTimer();
}

void HollowMember::ArmTimer() {
  const base::TimePoint wake_up = runner_->NextWakeUp();
  const bool is_armed = armed_token_ != 0 && armed_at_ <= wake_up;
  if (is_armed) {
    return;
  }
  armed_at_ = wake_up;
  ++armed_token_;
  const base::Duration delay = std::max(wake_up - context_->Now(), base::Duration(0));
  context_->SetTimer(delay, armed_token_);
}

}  // namespace gaugevalve::membership_simulation
