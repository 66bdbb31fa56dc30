#include "simulated_agent.h"

#include <algorithm>
#include <variant>

namespace gaugevalve::proofs {
namespace {

constexpr std::size_t kFlowCapacity = 64;
constexpr base::Duration kIdleTimeout = std::chrono::seconds(20);

}  // namespace

void SimulatedAgent::Start(base::ServiceId service) {
  incarnation_ = base::Incarnation(incarnation_.value() + 1);
  service_ = service;
  state_ = ProcessState::kRunning;
  confirmed_at_ = base::TimePoint::min();
  const bool accepts_any_incarnation = mutant_ == Mutant::kIgnoresIncarnation;
  flow::FlowCoreSettings settings;
  settings.table = {kFlowCapacity, kIdleTimeout};
  if (mutant_ == Mutant::kIgnoresPause) {
    settings.ownership.pause_threshold = std::chrono::hours(1);
  }
  core_.emplace(
      flow::AgentIdentity{node_, accepts_any_incarnation ? base::Incarnation() : incarnation_,
                          service},
      settings);
}

void SimulatedAgent::Crash() {
  state_ = ProcessState::kGone;
  core_.reset();
}

void SimulatedAgent::UpdateTable(const routing::BucketTable& table, base::TimePoint confirmed_at) {
  confirmed_at_ = std::max(confirmed_at_, confirmed_at);
  core_->UpdateTable(table,
                     mutant_ == Mutant::kIgnoresFreshness ? base::TimePoint::max() : confirmed_at);
}

flow::FlowAction SimulatedAgent::Decide(const wire::FlowKey& key, wire::ForwardingHeader& header,
                                        base::TimePoint now) {
  if (mutant_ == Mutant::kAcceptsForeign) {
    header.service = service_;
    header.target = node_;
  }
  if (mutant_ == Mutant::kSkipsChainWalk && header.entry.owner.node == node_) {
    header.walk = wire::ChainWalk::kFinished;
  }
  const bool is_asked = header.walk == wire::ChainWalk::kWalking;
  if (mutant_ == Mutant::kIgnoresOtherClaims && is_asked && Holds(key)) {
    header.claim = {};
  }
  if (mutant_ == Mutant::kTrustsHeldFlows) {
    if (const auto flow = core_->Flows().Find(key)) {
      return flow::Relay{*flow, false};
    }
  }
  const flow::FlowCore before = *core_;
  const flow::FlowAction action = core_->Decide(key, header, now);
  if (mutant_ == Mutant::kForgetsCarriedEntry && std::holds_alternative<flow::PassOn>(action)) {
    core_ = before;
  }
  return action;
}

void SimulatedAgent::StartDraining(base::TimePoint now) { core_->StartDraining(now); }

void SimulatedAgent::Tick(base::TimePoint now) { core_->Tick(now); }

void SimulatedAgent::Freeze(base::TimePoint now) {
  if (state_ == ProcessState::kRunning) {
    core_->Tick(now);
    state_ = ProcessState::kFrozen;
    frozen_at_ = now;
  }
}

bool SimulatedAgent::IsFrozenForLong(base::TimePoint now) const {
  return state_ == ProcessState::kFrozen &&
         now - frozen_at_ > flow::OwnershipSettings().pause_threshold;
}

routing::AgentReport SimulatedAgent::Report() const {
  routing::AgentReport report;
  core_->FillReport(report);
  report.incarnation = incarnation_;
  return report;
}

bool SimulatedAgent::Holds(const wire::FlowKey& key) const {
  return core_ && core_->Flows().Find(key).has_value();
}

bool SimulatedAgent::HasTable(const routing::TableVersion& version) const {
  return core_ && core_->Ownership().AcknowledgedVersion() >= version;
}

}  // namespace gaugevalve::proofs
