#include "gaugevalve/routing/flow_chooser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <map>
#include <vector>

#include "gaugevalve/routing/flow_cache.h"
#include "gaugevalve/routing/maglev_table.h"
#include "gaugevalve/routing/movement.h"

namespace gaugevalve::routing {
namespace {

std::vector<base::NodeId> MakeNodes(std::uint64_t count) {
  std::vector<base::NodeId> nodes;
  for (std::uint64_t number = 1; number <= count; ++number) {
    nodes.emplace_back(number);
  }
  return nodes;
}

class FlowChooserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowChooserTest);
  CPPUNIT_TEST(MaglevTableIsEven);
  CPPUNIT_TEST(MaglevCacheKeepsFlowUntilItsAgentIsRemoved);
  CPPUNIT_TEST(CacheEvictsLeastRecentlyUsed);
  CPPUNIT_TEST(ChoosesNothingWithoutAgents);
  CPPUNIT_TEST(PlannerMovesCloseToTheMinimum);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MaglevTableIsEven() {
    std::map<base::NodeId, std::size_t> places;
    for (const base::NodeId node : MakeMaglevTable(MakeNodes(7), 997)) {
      ++places[node];
    }
    for (const auto& [node, count] : places) {
      CPPUNIT_ASSERT(count == 142 || count == 143);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, places.size());
  }

  void MaglevCacheKeepsFlowUntilItsAgentIsRemoved() {
    const auto chooser = MakeFlowChooser(ChooserKind::kMaglev, 0, 1000);
    std::map<std::uint64_t, base::NodeId> chosen;
    chooser->SetAgents(MakeNodes(3));
    for (std::uint64_t flow = 0; flow < 500; ++flow) {
      chosen[flow] = *chooser->Choose(flow);
    }
    chooser->SetAgents(MakeNodes(5));
    for (const auto& [flow, agent] : chosen) {
      CPPUNIT_ASSERT_EQUAL(agent, *chooser->Choose(flow));
    }
    chooser->SetAgents(MakeNodes(2));
    for (const auto& [flow, agent] : chosen) {
      CPPUNIT_ASSERT(*chooser->Choose(flow) <= base::NodeId(2));
    }
  }

  void CacheEvictsLeastRecentlyUsed() {
    FlowCache cache(2);
    cache.Insert(1, base::NodeId(1));
    cache.Insert(2, base::NodeId(2));
    CPPUNIT_ASSERT(cache.Find(1).has_value());
    cache.Insert(3, base::NodeId(3));
    CPPUNIT_ASSERT(cache.Find(1).has_value());
    CPPUNIT_ASSERT(!cache.Find(2).has_value());
  }

  void ChoosesNothingWithoutAgents() {
    for (const ChooserKind kind : {ChooserKind::kModulo, ChooserKind::kMaglev,
                                   ChooserKind::kRendezvous, ChooserKind::kRandom}) {
      const auto chooser = MakeFlowChooser(kind, 1, 10);
      chooser->SetAgents({});
      CPPUNIT_ASSERT(!chooser->Choose(5).has_value());
    }
  }

  // The planner may move more than the minimum only by the granularity of its buckets and its
  // hysteresis.
  void PlannerMovesCloseToTheMinimum() {
    constexpr double kGranularityTolerance = 0.02;
    for (const auto& [before, after] : {std::pair{3, 4}, {4, 3}, {7, 8}, {8, 7}, {7, 5}}) {
      const std::vector<Movement> movements =
          MeasureMovement(static_cast<std::size_t>(before), static_cast<std::size_t>(after), 256);
      for (const Movement& movement : movements) {
        std::cout << "\n  " << movement.before << " to " << movement.after << " " << movement.policy
                  << ": moved " << movement.moved << ", minimum " << movement.minimum
                  << ", imbalance " << movement.imbalance;
      }
      std::cout << "\n";
      const Movement& planner = movements[0];
      CPPUNIT_ASSERT(planner.moved <= planner.minimum + kGranularityTolerance);
      CPPUNIT_ASSERT(planner.moved < movements[2].moved + kGranularityTolerance);
      CPPUNIT_ASSERT(planner.moved < movements[3].moved);
      CPPUNIT_ASSERT(planner.imbalance < 1.06);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowChooserTest);

}  // namespace
}  // namespace gaugevalve::routing
