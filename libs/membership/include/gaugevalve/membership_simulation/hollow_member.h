// A simulated node that runs the real membership core and nothing else.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "gaugevalve/membership/membership.h"
#include "gaugevalve/membership/membership_runner.h"
#include "gaugevalve/simulation/simulated_node.h"
#include "gaugevalve/simulation/simulated_transport.h"

namespace gaugevalve::membership_simulation {

// Settings of one process of a simulated member.
struct HollowMemberSettings {
  base::NodeId node;
  membership::MemberMetadata metadata;  // of this process
  membership::MembershipOptions options;
  std::uint64_t seed = 0;
  // Members known from the start; may be null. Shared because thousands of nodes start with the
  // same list.
  std::shared_ptr<const std::vector<membership::Member>> preload;
  // Called with each event of the core; may be empty.
  std::function<void(simulation::NodeIndex, const membership::MembershipEvent&)> listener;
};

// Runs the real core and message encoding on a simulated clock and network.
class HollowMember final : public simulation::SimulatedNode {
 public:
  explicit HollowMember(HollowMemberSettings settings);
  ~HollowMember() override;

  void OnStart(simulation::NodeContext& context) override;
  void OnMessage(const simulation::Message& message) override;
  void OnTimer(simulation::TimerToken token) override;

  membership::MembershipRunner& Runner() { return *runner_; }
  const membership::Membership& Core() const { return *core_; }
  const transport::TransportCounters& Counters() const { return transport_->Counters(); }

 private:
  void ArmTimer();

  HollowMemberSettings settings_;
  simulation::NodeContext* context_ = nullptr;
  std::unique_ptr<simulation::SimulatedTransport> transport_;
  std::unique_ptr<membership::Membership> core_;
  std::unique_ptr<membership::MembershipRunner> runner_;
  simulation::TimerToken armed_token_ = 0;  // timers with an earlier token are ignored
  base::TimePoint armed_at_{};
};

}  // namespace gaugevalve::membership_simulation
