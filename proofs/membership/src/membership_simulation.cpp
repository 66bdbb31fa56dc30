#include "membership_simulation.h"

#include <algorithm>
#include <sstream>

namespace gaugevalve::proofs {
namespace {

// Less than the real budget, because the group is small. Without the reserve, a digest offer (1.2
// KB) must still fit.
constexpr std::size_t kBytesPerSecond = 2000;
constexpr std::size_t kReservedBytesPerSecond = 500;
constexpr base::Duration kBudgetWindow = std::chrono::seconds(1);
// Acknowledgements are exempt from the budget.
constexpr std::size_t kAcknowledgementBytes = 500;
constexpr base::Duration kCheckInterval = std::chrono::milliseconds(50);
// After the faults end, the views must become correct within this time.
constexpr base::Duration kConvergenceLimit = std::chrono::minutes(2);

simulation::NetworkModel MakeNetwork() {
  return {{{"north", "north-1"}, {"north", "north-2"}, {"south", "south-1"}},
          simulation::LatencyProfile{}};
}

}  // namespace

MembershipSimulation::MembershipSimulation(std::uint64_t seed,
                                           const membership::InjectedFaults& faults)
    : simulator_(seed, MakeNetwork()) {
  membership_simulation::HollowGroupSettings settings;
  settings.members = kMembers;
  settings.options.faults = faults;
  settings.options.bytes_per_second = kBytesPerSecond;
  settings.options.reserved_bytes_per_second = kReservedBytesPerSecond;
  if (seed % 2 == 0) {
    settings.options.summary_bytes_per_member =
        100;  // otherwise a group this small never sends a summary
  }
  settings.listener = [this](simulation::NodeIndex, const membership::MembershipEvent& event) {
    OnEvent(event);
  };
  group_ = std::make_unique<membership_simulation::HollowGroup>(simulator_, settings);
  UpdateIssuedIncarnations();
}

void MembershipSimulation::Run(base::Duration duration) {
  const base::TimePoint end = simulator_.Now() + duration;
  while (simulator_.Now() < end) {
    simulator_.RunFor(std::min<base::Duration>(kCheckInterval, end - simulator_.Now()));
    UpdateIssuedIncarnations();
    CheckViews();
    CheckByteBudget();
  }
}

void MembershipSimulation::Kill(std::size_t member) { group_->Kill(member); }

void MembershipSimulation::Restart(std::size_t member) {
  ++totals_.restarts;
  group_->Restart(member);
}

void MembershipSimulation::Freeze(std::size_t member) { simulator_.Freeze(group_->Index(member)); }

void MembershipSimulation::Thaw(std::size_t member) { simulator_.Thaw(group_->Index(member)); }

void MembershipSimulation::Leave(std::size_t member) {
  if (IsRunning(member)) {
    group_->Leave(member);
  }
}

void MembershipSimulation::ToggleLeavingFlag(std::size_t member) {
  if (!IsRunning(member)) {
    return;
  }
  membership::MembershipRunner& runner = group_->Process(member).Runner();
  membership::MemberMetadata metadata = *runner.Core().Self().metadata;
  metadata.leaving = !metadata.leaving;
  runner.UpdateMetadata(metadata);
}

void MembershipSimulation::Isolate(std::size_t member) {
  simulator_.Network().IsolateNode(group_->Index(member));
}

void MembershipSimulation::BlockOneWay(std::size_t from, std::size_t to) {
  simulator_.Network().BlockNodes(group_->Index(from), group_->Index(to));
}

void MembershipSimulation::SplitRegions() { simulator_.Network().BlockRegions("north", "south"); }

void MembershipSimulation::EndPartitions() { simulator_.Network().HealPartitions(); }

void MembershipSimulation::SetMessageFaults(double probability) {
  simulator_.Network().SetFaults(
      {.loss = probability, .duplication = probability, .reordering = probability});
}

void MembershipSimulation::Heal() {
  EndPartitions();
  SetMessageFaults(0);
  for (std::size_t member = 0; member < kMembers; ++member) {
    Thaw(member);
    const bool is_seed = member < kSeeds;
    if (is_seed && !IsRunning(member)) {
      Restart(member);
    }
  }
  const base::TimePoint end = simulator_.Now() + kConvergenceLimit;
  while (simulator_.Now() < end && !group_->HasConverged()) {
    Run(std::chrono::milliseconds(500));
  }
  std::string difference;
  if (!violation_ && !group_->HasConverged(&difference)) {
    violation_ = "views did not converge: " + difference;
  }
}

bool MembershipSimulation::IsRunning(std::size_t member) const { return group_->IsRunning(member); }

void MembershipSimulation::OnEvent(const membership::MembershipEvent& event) {
  switch (event.kind) {
    case membership::EventKind::kFailed:
      ++totals_.deaths_reported;
      return;
    case membership::EventKind::kRecovered:
      ++totals_.recoveries;
      return;
    case membership::EventKind::kSelfDeclaredDead:
      ++totals_.self_death_reports;
      return;
    default:
      return;
  }
}

void MembershipSimulation::UpdateIssuedIncarnations() {
  for (std::size_t member = 0; member < kMembers; ++member) {
    if (simulator_.State(group_->Index(member)) == simulation::NodeState::kDead) {
      continue;
    }
    const membership::Member& self = group_->Process(member).Core().Self();
    issued_[self.node] = std::max(issued_[self.node], self.incarnation);
  }
}

void MembershipSimulation::CheckViews() {
  for (std::size_t observer = 0; observer < kMembers; ++observer) {
    if (IsRunning(observer)) {
      group_->Process(observer).Core().ForEach(
          [&](const membership::Member& seen) { CheckMember(observer, seen); });
    }
  }
}

void MembershipSimulation::CheckByteBudget() {
  for (std::size_t member = 0; member < kMembers; ++member) {
    if (!IsRunning(member)) {
      continue;
    }
    const membership_simulation::HollowMember& process = group_->Process(member);
    const membership::Member& self = process.Core().Self();
    BytesSent& sent = sent_[{member, self.metadata->process_incarnation, self.node}];
    if (!process.Core().IsJoined()) {
      sent.clear();  // not joined yet, so the budget does not apply
      continue;
    }
    const std::uint64_t bytes =
        process.Counters().Of(transport::MessageKind::kMembership).sent_bytes;
    sent.emplace_back(simulator_.Now(), bytes);
    while (simulator_.Now() - sent.front().first > kBudgetWindow) {
      sent.pop_front();
    }
    if (bytes - sent.front().second > kBytesPerSecond + kAcknowledgementBytes) {
      RecordViolation("sent more bytes in one second than the budget", member, self);
    }
  }
}

void MembershipSimulation::CheckMember(std::size_t observer, const membership::Member& seen) {
  const base::Incarnation observer_incarnation =
      group_->Process(observer).Core().Self().metadata->process_incarnation;
  const ObservedState now{seen.incarnation, seen.state, seen.metadata->process_incarnation};
  const auto [place, is_new] =
      observed_.try_emplace({observer, observer_incarnation, seen.node}, now);
  const ObservedState before = std::exchange(place->second, now);
  if (!is_new &&
      std::tie(now.incarnation, now.state) < std::tie(before.incarnation, before.state)) {
    RecordViolation("a view went back to an older record", observer, seen);
  }
  if (!is_new && now.process_incarnation < before.process_incarnation) {
    RecordViolation("a view went back to an older process", observer, seen);
  }
  if (now.incarnation > issued_[seen.node]) {
    RecordViolation("a view has an incarnation that the member never announced", observer, seen);
  }
}

void MembershipSimulation::RecordViolation(const std::string& rule, std::size_t observer,
                                           const membership::Member& seen) {
  if (violation_) {
    return;
  }
  std::ostringstream text;
  text << rule << ": member " << observer << " sees node " << seen.node << " "
       << membership::MemberStateName(seen.state) << " at " << seen.incarnation
       << ", process incarnation " << seen.metadata->process_incarnation;
  violation_ = text.str();
}

}  // namespace gaugevalve::proofs
