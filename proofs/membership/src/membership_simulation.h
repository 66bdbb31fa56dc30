// A small simulated group under faults, with an oracle that checks the members' views.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "gaugevalve/membership_simulation/hollow_group.h"
#include "gaugevalve/simulation/simulator.h"

namespace gaugevalve::proofs {

// Counts of the events that the proof is about, to show that they occurred.
struct MembershipTotals {
  std::size_t deaths_reported = 0;
  std::size_t recoveries = 0;
  std::size_t restarts = 0;
  std::size_t self_death_reports = 0;
};

// Checks these rules at regular intervals:
// - what an observer knows of a member never gets older, neither the incarnation with its state nor
//   the process incarnation;
// - it is never newer than what the member has announced;
// - a joined member stays within its byte budget in every second.
// After Heal() every view must become correct within kConvergenceLimit.
class MembershipSimulation {
 public:
  static constexpr std::size_t kMembers = 7;
  static constexpr std::size_t kSeeds = 3;  // the first member of each zone

  MembershipSimulation(std::uint64_t seed, const membership::InjectedFaults& faults);

  // Advances the simulation and checks all rules every kCheckInterval.
  void Run(base::Duration duration);

  // Faults. A fault that does not apply to the member's current state has no effect.
  void Kill(std::size_t member);
  void Restart(std::size_t member);
  void Freeze(std::size_t member);
  void Thaw(std::size_t member);
  void Leave(std::size_t member);
  void ToggleLeavingFlag(std::size_t member);
  void Isolate(std::size_t member);
  void BlockOneWay(std::size_t from, std::size_t to);
  void SplitRegions();
  void EndPartitions();
  void SetMessageFaults(double probability);  // of loss, duplication and reordering

  // Ends all faults, restarts stopped seeds, and runs until all views are correct.
  void Heal();

  // Returns the first violation of a rule, or nothing.
  const std::optional<std::string>& Violation() const { return violation_; }
  const MembershipTotals& Totals() const { return totals_; }

 private:
  // What an observer knew of a member at the last check.
  struct ObservedState {
    base::Incarnation incarnation;
    membership::MemberState state = membership::MemberState::kAlive;
    base::Incarnation process_incarnation;
  };
  // Total bytes sent by a member at the checks of the last second, oldest first.
  using BytesSent = std::deque<std::pair<base::TimePoint, std::uint64_t>>;
  // (observer, its process incarnation, member)
  using ObservationKey = std::tuple<std::size_t, base::Incarnation, base::NodeId>;

  bool IsRunning(std::size_t member) const;
  void OnEvent(const membership::MembershipEvent& event);
  void UpdateIssuedIncarnations();
  void CheckViews();
  void CheckByteBudget();
  void CheckMember(std::size_t observer, const membership::Member& seen);
  void RecordViolation(const std::string& rule, std::size_t observer,
                       const membership::Member& seen);

  simulation::Simulator simulator_;
  std::unique_ptr<membership_simulation::HollowGroup> group_;
  std::map<ObservationKey, ObservedState> observed_;
  std::map<ObservationKey, BytesSent>
      sent_;  // key: (member, its process incarnation, its identifier)
  std::map<base::NodeId, base::Incarnation>
      issued_;  // highest incarnation announced by each member
  std::optional<std::string> violation_;
  MembershipTotals totals_;
};

}  // namespace gaugevalve::proofs
