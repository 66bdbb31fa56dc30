#include "gaugevalve/control/coordinator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

#include "gaugevalve/control/planner_election.h"
#include "member_fixture.h"

namespace gaugevalve::control {
namespace {

constexpr std::uint64_t kEpoch = 9;

class CoordinatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinatorTest);
  CPPUNIT_TEST(PublishesOnlyWithTheLease);
  CPPUNIT_TEST(SpreadsOverZones);
  CPPUNIT_TEST(ReplacesDeadMemberAfterDelay);
  CPPUNIT_TEST(RestartedMemberGetsANewSlot);
  CPPUNIT_TEST(NewEpochKeepsTheMembers);
  CPPUNIT_TEST(ResignsWhenANewerEpochIsKnown);
  CPPUNIT_TEST(PublishesRequiredSettingsSchema);
  CPPUNIT_TEST(ElectionFallsBackToAllBalancers);
  CPPUNIT_TEST(GenerationsOfTwoPlannersDiffer);
  CPPUNIT_TEST(RosterRoundTrips);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    directory_ = {};
    schema_.reset();
    for (std::uint64_t node = 1; node <= 9; ++node) {
      directory_.Upsert(MakeBalancer(node, node <= 5 ? "east" : (node <= 8 ? "west" : "south")));
    }
    now_ = base::TimePoint{} + std::chrono::seconds(100);
  }

 private:
  Roster Publish(Coordinator& coordinator, const Roster& newest) {
    now_ += std::chrono::seconds(2);
    const std::optional<Roster> roster = coordinator.Tick(directory_, newest, schema_, now_);
    CPPUNIT_ASSERT(roster.has_value());
    return *roster;
  }

  static CoordinatorOptions FiveMembers() {
    CoordinatorOptions options;
    options.roster_size = 5;
    return options;
  }

  void PublishesOnlyWithTheLease() {
    Coordinator coordinator(FiveMembers());
    CPPUNIT_ASSERT(!coordinator.Tick(directory_, {}, schema_, now_).has_value());
    coordinator.OnLeaseHeld(kEpoch, now_);
    const Roster roster = Publish(coordinator, {});
    CPPUNIT_ASSERT_EQUAL(kEpoch, roster.epoch);
    CPPUNIT_ASSERT(
        !coordinator.Tick(directory_, roster, schema_, now_).has_value());  // nothing changed
    coordinator.OnLeaseLost();
    directory_.Remove(roster.members[0].node);
    now_ += std::chrono::minutes(1);
    CPPUNIT_ASSERT(!coordinator.Tick(directory_, roster, schema_, now_).has_value());
  }

  void SpreadsOverZones() {
    Coordinator coordinator(FiveMembers());
    coordinator.OnLeaseHeld(kEpoch, now_);
    std::map<std::string, int> in_zone;
    std::set<std::uint32_t> slots;
    for (const RosterMember& member : Publish(coordinator, {}).members) {
      ++in_zone[directory_.Find(member.node)->metadata->zone];
      slots.insert(member.slot);
    }
    CPPUNIT_ASSERT_EQUAL(1, in_zone["south"]);
    CPPUNIT_ASSERT(in_zone["east"] == 2 && in_zone["west"] == 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, slots.size());
  }

  void ReplacesDeadMemberAfterDelay() {
    Coordinator coordinator(FiveMembers());
    coordinator.OnLeaseHeld(kEpoch, now_);
    const Roster first = Publish(coordinator, {});
    const base::NodeId dead = first.members[2].node;
    directory_.Remove(dead);
    CPPUNIT_ASSERT(!coordinator.Tick(directory_, first, schema_, now_).has_value());
    now_ += std::chrono::seconds(4);
    const Roster second = Publish(coordinator, first);
    CPPUNIT_ASSERT_EQUAL(first.sequence + 1, second.sequence);
    CPPUNIT_ASSERT(second.Find(dead) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, second.members.size());
    for (const RosterMember& member : first.members) {
      const RosterMember* kept = second.Find(member.node);
      CPPUNIT_ASSERT(member.node == dead || (kept != nullptr && kept->slot == member.slot));
    }
  }

  void RestartedMemberGetsANewSlot() {
    Coordinator coordinator(FiveMembers());
    coordinator.OnLeaseHeld(kEpoch, now_);
    const Roster first = Publish(coordinator, {});
    const RosterMember before = first.members[1];
    const std::string zone = directory_.Find(before.node)->metadata->zone;
    directory_.Upsert(MakeBalancer(before.node.value(), zone, 2));
    const ElectedPlanner elected = *ElectPlanner(base::ServiceId(3), first, directory_);
    CPPUNIT_ASSERT(elected.node != before.node);  // the roster doesn't list its new incarnation yet
    const Roster second = Publish(coordinator, first);
    for (const RosterMember& member : second.members) {
      CPPUNIT_ASSERT(member.slot != before.slot);
    }
  }

  void NewEpochKeepsTheMembers() {
    Coordinator first(FiveMembers());
    first.OnLeaseHeld(kEpoch, now_);
    const Roster old = Publish(first, {});
    Coordinator second(FiveMembers());
    second.OnLeaseHeld(kEpoch + 1, now_);
    const Roster next = Publish(second, old);
    CPPUNIT_ASSERT(next.epoch > old.epoch);
    for (const RosterMember& member : old.members) {
      CPPUNIT_ASSERT(next.Find(member.node) != nullptr);
    }
  }

  void ResignsWhenANewerEpochIsKnown() {
    Coordinator coordinator(FiveMembers());
    coordinator.OnLeaseHeld(kEpoch, now_);
    now_ += std::chrono::seconds(2);
    Roster newer;
    newer.epoch = kEpoch + 5;
    CPPUNIT_ASSERT(!coordinator.Tick(directory_, newer, schema_, now_).has_value());
    CPPUNIT_ASSERT(coordinator.MustResign());
  }

  void PublishesRequiredSettingsSchema() {
    Coordinator first(FiveMembers());
    first.OnLeaseHeld(kEpoch, now_);
    schema_ = 3;
    const Roster old = Publish(first, {});
    CPPUNIT_ASSERT_EQUAL(3U, old.settings_schema);
    schema_ = 2;
    CPPUNIT_ASSERT_EQUAL(2U, Publish(first, old).settings_schema);
    schema_.reset();
    Coordinator second(FiveMembers());
    second.OnLeaseHeld(kEpoch + 1, now_);
    CPPUNIT_ASSERT_EQUAL(3U,
                         Publish(second, old).settings_schema);  // kept until a new value is known
  }

  void ElectionFallsBackToAllBalancers() {
    Roster roster;
    roster.members.push_back({base::NodeId(77), base::Incarnation(1), 0});
    const std::optional<ElectedPlanner> elected =
        ElectPlanner(base::ServiceId(3), roster, directory_);
    CPPUNIT_ASSERT(elected.has_value());
    CPPUNIT_ASSERT(directory_.Find(elected->node) != nullptr);
    CPPUNIT_ASSERT(elected->tag >= kFirstHashedTag);
    CPPUNIT_ASSERT(!ElectPlanner(base::ServiceId(3), roster, MemberDirectory()).has_value());
  }

  void GenerationsOfTwoPlannersDiffer() {
    const routing::TableVersion newest{kEpoch, TakeOverGeneration({}, kEpoch, 4), 7};
    const std::uint32_t first = TakeOverGeneration(newest, kEpoch, 1);
    const std::uint32_t second = TakeOverGeneration(newest, kEpoch, 2);
    CPPUNIT_ASSERT(first != second);
    CPPUNIT_ASSERT(first > newest.generation && second > newest.generation);
    const routing::TableVersion in_new_epoch{kEpoch + 1, TakeOverGeneration(newest, kEpoch + 1, 0),
                                             0};
    CPPUNIT_ASSERT(in_new_epoch > newest);
  }

  void RosterRoundTrips() {
    Roster roster{kEpoch, 3, {{base::NodeId(5), base::Incarnation(6), 7}}, 2};
    CPPUNIT_ASSERT(DecodeRoster(EncodeRoster(roster)) == roster);
    CPPUNIT_ASSERT(!DecodeRoster("\xff\xff").has_value());
    roster.members.assign(kMaxRosterMembers + 1, roster.members[0]);
    CPPUNIT_ASSERT(!DecodeRoster(EncodeRoster(roster)).has_value());
  }

  MemberDirectory directory_;
  std::optional<std::uint32_t> schema_;
  base::TimePoint now_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorTest);

}  // namespace
}  // namespace gaugevalve::control
