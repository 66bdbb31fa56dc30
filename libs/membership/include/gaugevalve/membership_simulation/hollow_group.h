// A group of simulated members distributed over the zones of a simulation.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gaugevalve/membership_simulation/hollow_member.h"
#include "gaugevalve/simulation/simulator.h"

namespace gaugevalve::membership_simulation {

struct HollowGroupSettings {
  std::size_t members = 0;
  membership::MembershipOptions options;  // seeds are added: the first member of each zone
  // If true, all members know each other from the start; otherwise they join through the seeds.
  bool is_preloaded = true;
  std::function<void(simulation::NodeIndex, const membership::MembershipEvent&)> listener;
};

// Adds members to a simulator, assigned to the zones in round-robin order, and starts and stops
// them. Knows the expected view, so it can check whether the members' views are correct.
class HollowGroup {
 public:
  // `simulator` must outlive the group.
  HollowGroup(simulation::Simulator& simulator, HollowGroupSettings settings);

  std::size_t Size() const { return members_.size(); }
  simulation::NodeIndex Index(std::size_t member) const { return members_.at(member).index; }
  base::NodeId Node(std::size_t member) const { return members_.at(member).node; }
  simulation::ZoneIndex Zone(std::size_t member) const;
  bool IsRunning(std::size_t member) const;

  // Returns the current process of the member. The member must not be dead.
  HollowMember& Process(std::size_t member);
  const HollowMember& Process(std::size_t member) const;

  void Kill(std::size_t member);
  // Starts a new process that knows only the seeds. Its wall clock lags by `clock_error`.
  void Restart(std::size_t member, base::Duration clock_error = base::Duration(0));
  // Announces that the member leaves. The caller decides when to call Kill().
  void Leave(std::size_t member);

  // Returns whether the view of `observer` is correct: exactly the running members are live, each
  // with its current incarnation and metadata. Describes the first mismatch in `difference`, which
  // may be null.
  bool HasCorrectView(std::size_t observer, std::string* difference) const;
  // Returns whether all running members have a correct view.
  bool HasConverged(std::string* difference = nullptr) const;

 private:
  struct Entry {
    simulation::NodeIndex index;
    base::NodeId node;
    membership::MemberMetadata metadata;
    bool has_left = false;
  };

  membership::MemberMetadata MakeMetadata(std::size_t member) const;
  std::unique_ptr<HollowMember> MakeProcess(std::size_t member, bool is_preloaded);
  bool IsExpected(const Entry& entry) const;

  simulation::Simulator& simulator_;
  HollowGroupSettings settings_;
  std::shared_ptr<const std::vector<membership::Member>> preload_;
  std::vector<Entry> members_;
};

}  // namespace gaugevalve::membership_simulation
