// How to embed the membership core: what a program has to bring, and what it gets.
//
// Nine nodes in three zones run in simulated time, so the example needs no ports and always prints
// the same. One node is killed, one is marked as leaving, and node 0 prints what it learns. In a
// daemon, NngPeerTransport takes the place of SimulatedTransport and a libevent timer that of
// SetTimer(); see libs/membership/tests/nng_membership_test.cpp.

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "gaugevalve/membership/membership.h"
#include "gaugevalve/membership/membership_runner.h"
#include "gaugevalve/simulation/simulated_transport.h"
#include "gaugevalve/simulation/simulator.h"

namespace {

using namespace gaugevalve;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 7;
constexpr std::uint32_t kNodes = 9;
constexpr std::uint16_t kZones = 3;

base::SocketAddress ControlAddress(std::uint32_t number) {
  constexpr std::uint32_t kNetwork = 0x0a000001;
  return base::SocketAddress::Ipv4(kNetwork + number, 7000);
}

std::string NodeName(std::uint32_t number) { return "node-" + std::to_string(number); }

// A program with a membership core in it.
class ExampleNode final : public simulation::SimulatedNode {
 public:
  explicit ExampleNode(std::uint32_t number) : number_(number) {}

  void OnStart(simulation::NodeContext& context) override {
    context_ = &context;
    // 1. Who this node is. `process_incarnation` comes from the wall clock, so that it grows with
    // each restart.
    membership::MemberMetadata metadata;
    metadata.role = membership::Role::kAgent;
    metadata.region = "coast";
    metadata.zone = "zone-" + std::to_string(number_ % kZones);
    metadata.control_address = context.Address();
    metadata.process_incarnation = base::Incarnation(1'780'000'000'000'000);
    // 2. Whom it can join by.
    membership::MembershipOptions options;
    options.seeds = {ControlAddress(0), ControlAddress(1)};
    // 3. The core, a transport, and the runner between them.
    const base::NodeId node = base::MakeNodeId(NodeName(number_));
    transport_ = std::make_unique<simulation::SimulatedTransport>(
        context,
        transport::SenderIdentity{node, metadata.process_incarnation, context.Address(), {}});
    core_ = std::make_unique<membership::Membership>(node, metadata, options, kSeed + number_);
    runner_ = std::make_unique<membership::MembershipRunner>(
        *core_, *transport_, context,
        [this](const membership::MembershipEvent& event) { Print(event); });
    runner_->Start();
    context_->SetTimer(kTickInterval, 0);
  }

  // 4. Messages go to the transport, which passes them to the core.
  void OnMessage(const simulation::Message& message) override { transport_->OnMessage(message); }

  // 5. Ticks come often enough; a daemon sets its timer for runner.NextWakeUp().
  void OnTimer(simulation::TimerToken /*token*/) override {
    runner_->Tick();
    context_->SetTimer(kTickInterval, 0);
  }

  // Says that this node gives up its work; it stays a member meanwhile.
  void MarkAsLeaving() {
    membership::MemberMetadata metadata = *core_->Self().metadata;
    metadata.leaving = true;
    runner_->UpdateMetadata(metadata);
  }

  std::size_t LiveCount() const { return core_->LiveCount(); }

 private:
  static constexpr base::Duration kTickInterval = std::chrono::milliseconds(50);

  void Print(const membership::MembershipEvent& event) const {
    if (number_ != 0) {
      return;
    }
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(context_->Now().time_since_epoch());
    std::cout << "time_ms=" << milliseconds.count()
              << " event=" << membership::EventName(event.kind)
              << " control=" << event.member.metadata->control_address
              << " zone=" << event.member.metadata->zone
              << " leaving=" << event.member.metadata->leaving << "\n";
  }

  std::uint32_t number_;
  simulation::NodeContext* context_ = nullptr;
  std::unique_ptr<simulation::SimulatedTransport> transport_;
  std::unique_ptr<membership::Membership> core_;
  std::unique_ptr<membership::MembershipRunner> runner_;
};

}  // namespace

int main() {
  simulation::Simulator simulator(
      kSeed, simulation::NetworkModel(
                 {{"coast", "zone-0"}, {"coast", "zone-1"}, {"coast", "zone-2"}}, {}));
  std::vector<ExampleNode*> nodes;
  for (std::uint32_t number = 0; number < kNodes; ++number) {
    auto node = std::make_unique<ExampleNode>(number);
    nodes.push_back(node.get());
    const simulation::ZoneIndex zone(static_cast<std::uint16_t>(number % kZones));
    simulator.AddNode({.zone = zone, .address = ControlAddress(number)}, std::move(node));
  }
  simulator.RunFor(seconds(10));
  std::cout << "joined: node 0 knows " << nodes[0]->LiveCount() << " live members\n";
  simulator.Kill(simulation::NodeIndex(4));
  nodes[5]->MarkAsLeaving();
  simulator.RunFor(seconds(10));
  std::cout << "after the death: node 0 knows " << nodes[0]->LiveCount() << " live members\n";
  return nodes[0]->LiveCount() == kNodes - 1 ? EXIT_SUCCESS : EXIT_FAILURE;
}
