// A small group in the simulator, and the oracle that watches it.
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

// How often what the proof is about took place.
struct MembershipTotals {
  std::size_t deaths_reported = 0;
  std::size_t recoveries = 0;
  std::size_t restarts = 0;
  std::size_t self_death_reports = 0;
};

// Rules that hold at every look: what an observer knows of a member never gets older, neither its
// incarnation with its state nor its life, and never is newer than what the member has said; a
// member in service keeps its budget of bytes in every second. After
// Heal() every view must become the truth in a bounded time.
class MembershipWorld {
 public:
  static constexpr std::size_t kMembers = 7;
  static constexpr std::size_t kSeeds = 3;  // the first of each zone

  MembershipWorld(std::uint64_t seed, const membership::InjectedFaults& faults);

  // Lets time pass, looking at all views every kCheckInterval.
  void Run(base::Duration duration);

  // Faults. Those that make no sense for a member's present state do nothing.
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

  // Ends all faults, starts the seeds that are down, and runs until all views are true.
  void Heal();

  // Returns the first breach of a rule; nothing while there is none.
  const std::optional<std::string>& Violation() const { return violation_; }
  const MembershipTotals& Totals() const { return totals_; }

 private:
  // What an observer knew of a member when last looked at.
  struct ObservedState {
    base::Incarnation incarnation;
    membership::MemberState state = membership::MemberState::kAlive;
    base::Incarnation life;
  };
  // What a member had sent at the looks of the last second, oldest first.
  using BytesSent = std::deque<std::pair<base::TimePoint, std::uint64_t>>;
  // (observer, its life, member)
  using ObservationKey = std::tuple<std::size_t, base::Incarnation, base::NodeId>;

  bool IsRunning(std::size_t member) const;
  void OnEvent(const membership::MembershipEvent& event);
  void UpdateIssuedIncarnations();
  void CheckViews();
  void CheckByteBudget();
  void CheckMember(std::size_t observer, const membership::Member& seen);
  void ReportViolation(const std::string& rule, std::size_t observer,
                       const membership::Member& seen);

  simulation::Simulator simulator_;
  std::unique_ptr<membership_simulation::HollowGroup> group_;
  std::map<ObservationKey, ObservedState> observed_;
  std::map<ObservationKey, BytesSent> sent_;          // key: (member, its life, itself)
  std::map<base::NodeId, base::Incarnation> issued_;  // the highest each member has said
  std::optional<std::string> violation_;
  MembershipTotals totals_;
};

}  // namespace gaugevalve::proofs
