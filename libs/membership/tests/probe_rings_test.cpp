#include "probe_rings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>

namespace gaugevalve::membership {
namespace {

constexpr int kZones = 4;
constexpr int kMembers = 40;

class ProbeRingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProbeRingsTest);
  CPPUNIT_TEST(EveryMemberIsProbedMostlyFromItsZone);
  CPPUNIT_TEST(SuspectsAndTheirSuccessorsAreProbed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryMemberIsProbedMostlyFromItsZone() {
    const MemberTable table = MakeTable();
    std::map<base::NodeId, std::set<base::NodeId>> observers;
    int probes = 0;
    int within_zone = 0;
    for (const auto& [node, member] : table.Members()) {
      ProbeRings rings(node);
      for (int step = 0; step < kProbesPerCycle; ++step) {
        const auto target = rings.Next(table, ClassifierOf(member));
        CPPUNIT_ASSERT(target && *target != node);
        observers[*target].insert(node);
        ++probes;
        within_zone += table.Find(*target)->metadata->zone == member.metadata->zone ? 1 : 0;
      }
    }
    for (const auto& [node, member] : table.Members()) {
      CPPUNIT_ASSERT(!observers[node].empty());
    }
    CPPUNIT_ASSERT(within_zone * 2 > probes);
  }

  void SuspectsAndTheirSuccessorsAreProbed() {
    MemberTable table = MakeTable();
    const Member self = table.Members().begin()->second;
    ProbeRings rings(self.node);
    const base::NodeId first = *rings.Next(table, ClassifierOf(self));
    Member suspect = *table.Find(first);
    suspect.state = MemberState::kSuspect;
    table.Put(suspect);
    rings.OnMemberChanged(suspect, Proximity::kSameZone);
    std::set<base::NodeId> targets;
    for (int step = 0; step < 2 * kProbesPerCycle; ++step) {
      targets.insert(*rings.Next(table, ClassifierOf(self)));
    }
    CPPUNIT_ASSERT(targets.contains(first));
    CPPUNIT_ASSERT(targets.size() > 1);
    CPPUNIT_ASSERT(rings.IsTarget(first));
  }

 private:
  static constexpr int kProbesPerCycle = 6;

  static MemberTable MakeTable() {
    MemberTable table(kMembers);
    for (int index = 0; index < kMembers; ++index) {
      MemberMetadata metadata;
      metadata.region = index % kZones < kZones / 2 ? "north" : "south";
      metadata.zone = "zone-" + std::to_string(index % kZones);
      Member member;
      member.node = base::MakeNodeId("node-" + std::to_string(index));
      member.metadata = std::make_shared<MemberMetadata>(metadata);
      table.Put(member);
    }
    return table;
  }

  static ProximityClassifier ClassifierOf(const Member& member) {
    return {member.metadata->region, member.metadata->zone};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProbeRingsTest);

}  // namespace
}  // namespace gaugevalve::membership
