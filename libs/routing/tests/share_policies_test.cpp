// Tests of the policies that adjust the agents' shares.
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "gaugevalve/routing/cold_start_ramp.h"
#include "gaugevalve/routing/load_steering.h"
#include "gaugevalve/routing/move_budget.h"
#include "gaugevalve/routing/outlier_ejection.h"
#include "gaugevalve/routing/zone_preference.h"

namespace gaugevalve::routing {
namespace {

using std::chrono::seconds;

constexpr double kTolerance = 1e-9;

std::vector<AgentView> MakeViews(std::size_t count) {
  std::vector<AgentView> views(count);
  for (std::size_t position = 0; position < count; ++position) {
    views[position].node = base::NodeId(position + 1);
    views[position].report_weight = 1.0;
    views[position].utilisation = 0.5;
    views[position].zone = position == 0 ? "near" : "far";
  }
  return views;
}

std::vector<double> Adjusted(SharePolicy& policy, const std::vector<AgentView>& views,
                             base::TimePoint now = {}) {
  std::vector<double> shares(views.size(), 1.0);
  policy.Adjust(views, now, shares);
  return shares;
}

std::size_t CountZero(const std::vector<double>& shares) {
  return static_cast<std::size_t>(std::count(shares.begin(), shares.end(), 0.0));
}

class SharePoliciesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharePoliciesTest);
  CPPUNIT_TEST(RampRisesInSteps);
  CPPUNIT_TEST(SteeringFollowsLoadAndReportWeight);
  CPPUNIT_TEST(SteeringIgnoresNoise);
  CPPUNIT_TEST(FullAgentGetsNothingUnlessAllAreFull);
  CPPUNIT_TEST(PreferredZoneTakesAllUntilItsUtilisationBound);
  CPPUNIT_TEST(EjectsOutlierForTheEjectionTime);
  CPPUNIT_TEST(EjectionNeverExceedsItsCap);
  CPPUNIT_TEST(EjectsNobodyWhenAllAgentsFail);
  CPPUNIT_TEST(BudgetBoundsStepAndMinute);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RampRisesInSteps() {
    const ColdStartRamp ramp(seconds(30), 2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3, ramp.FractionAt(seconds(0)), kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3, ramp.FractionAt(seconds(14)), kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0 / 3, ramp.FractionAt(seconds(15)), kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, ramp.FractionAt(seconds(30)), kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, ColdStartRamp(seconds(0), 2).FractionAt(seconds(0)),
                                 kTolerance);
  }

  void SteeringFollowsLoadAndReportWeight() {
    LoadSteering steering(1.0, 0.0);
    std::vector<AgentView> views = MakeViews(2);
    views[0].utilisation = 0.75;
    views[1].utilisation = 0.25;
    const std::vector<double> trusted = Adjusted(steering, views);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, trusted[0], kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, trusted[1], kTolerance);
    views[0].report_weight = 0.0;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Adjusted(steering, views)[0], kTolerance);
  }

  void SteeringIgnoresNoise() {
    LoadSteering steering(1.0, 0.1);
    std::vector<AgentView> views = MakeViews(2);
    views[0].utilisation = 0.52;
    CPPUNIT_ASSERT_EQUAL(1.0, Adjusted(steering, views)[0]);
  }

  void FullAgentGetsNothingUnlessAllAreFull() {
    LoadSteering steering(1.0, 0.1);
    std::vector<AgentView> views = MakeViews(2);
    views[0].flow_utilisation = 1.0;
    CPPUNIT_ASSERT_EQUAL(0.0, Adjusted(steering, views)[0]);
    views[1].flow_utilisation = 1.0;
    CPPUNIT_ASSERT_EQUAL(1.0, Adjusted(steering, views)[0]);
  }

  void PreferredZoneTakesAllUntilItsUtilisationBound() {
    ZonePreference preference({"near"}, 0.8);
    std::vector<AgentView> views = MakeViews(2);
    views[0].utilisation = 0.6;
    views[1].utilisation = 0.0;
    CPPUNIT_ASSERT_EQUAL(0.0, Adjusted(preference, views)[1]);
    views[0].utilisation = 1.0;  // 0.2 of the demand of 1.0 exceeds the bound of the near zone
    const std::vector<double> spilled = Adjusted(preference, views);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, spilled[0], kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, spilled[1], kTolerance);
    views[1].utilisation = 1.0;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, Adjusted(preference, views)[1], kTolerance);
  }

  void EjectsOutlierForTheEjectionTime() {
    OutlierEjection ejection(0.5, seconds(30), 0.34);
    std::vector<AgentView> views = MakeViews(3);
    views[1].failure_rate = 5.0;
    base::TimePoint now{};
    CPPUNIT_ASSERT_EQUAL(0.0, Adjusted(ejection, views, now)[1]);
    views[1].failure_rate = 0.0;
    CPPUNIT_ASSERT_EQUAL(0.0, Adjusted(ejection, views, now + seconds(29))[1]);
    CPPUNIT_ASSERT_EQUAL(1.0, Adjusted(ejection, views, now + seconds(30))[1]);
    views[1].failure_rate = 5.0;  // a consecutive ejection lasts twice as long
    CPPUNIT_ASSERT_EQUAL(0.0, Adjusted(ejection, views, now + seconds(31))[1]);
    CPPUNIT_ASSERT_EQUAL(0.0, Adjusted(ejection, views, now + seconds(90))[1]);
  }

  void EjectionNeverExceedsItsCap() {
    OutlierEjection ejection(0.5, seconds(30), 0.34);
    std::vector<AgentView> views = MakeViews(7);
    for (std::size_t position = 0; position < 3; ++position) {
      views[position].failure_rate = 5.0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, CountZero(Adjusted(ejection, views)));
    views.erase(views.begin() + 4, views.end());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountZero(Adjusted(ejection, views)));
    views.erase(views.begin() + 2, views.end());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountZero(Adjusted(ejection, views)));
  }

  void EjectsNobodyWhenAllAgentsFail() {
    OutlierEjection ejection(0.5, seconds(30), 0.34);
    std::vector<AgentView> views = MakeViews(3);
    for (AgentView& view : views) {
      view.failure_rate = 5.0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountZero(Adjusted(ejection, views)));
  }

  void BudgetBoundsStepAndMinute() {
    MoveBudget budget(8, 20);
    base::TimePoint now{seconds(1000)};
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, budget.Available(now));
    budget.Spend(8);
    budget.Spend(budget.Available(now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, budget.Available(now));
    budget.Spend(4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.Available(now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, budget.Available(now + seconds(3)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharePoliciesTest);

}  // namespace
}  // namespace gaugevalve::routing
