#include "drain_plan.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/settings/effective_settings.h"

namespace gaugevalve::ctl {
namespace {

settings::SettingsTree Tree() {
  return settings::ParseTree(R"(version: 1
services:
  a:
    kind: http3
    virtual_address: 192.0.2.1:1
    regions: {north: {zones: {east: {endpoints: {one: {}}}, two: {endpoints: {three: {}}}}}}
  b:
    kind: http3
    virtual_address: 192.0.2.2:1
    regions: {south: {state: draining, zones: {east: {endpoints: {one: {}, two: {}}}}}}
)",
                             "test");
}

settings::SettingsTree Drained(const std::string& target, DrainWish wish = DrainWish::kDrain) {
  return settings::ApplyOperations(Tree(), PlanDrain(Tree(), target, wish));
}

std::string Refusal(const std::string& target, DrainWish wish = DrainWish::kDrain) {
  try {
    PlanDrain(Tree(), target, wish);
  } catch (const base::FindingsError& error) {
    return error.what();
  }
  return "accepted";
}

class DrainPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainPlanTest);
  CPPUNIT_TEST(DrainsOneEndpoint);
  CPPUNIT_TEST(DrainsOneZone);
  CPPUNIT_TEST(RefusesWhatIsUnclear);
  CPPUNIT_TEST(RefusesWhatIsSoAlready);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DrainsOneEndpoint() {
    const settings::EffectiveSettings settings = settings::Resolve(Drained("a/one"));
    CPPUNIT_ASSERT(settings.FindService("a")->FindEndpoint("one")->state ==
                   settings::AdministrativeState::kDraining);
    CPPUNIT_ASSERT(settings.FindService("a")->FindEndpoint("three")->state ==
                   settings::AdministrativeState::kServing);
  }

  void DrainsOneZone() {
    const settings::EffectiveSettings settings = settings::Resolve(Drained("north/two"));
    CPPUNIT_ASSERT(settings.FindService("a")->FindEndpoint("three")->state ==
                   settings::AdministrativeState::kDraining);
    CPPUNIT_ASSERT(settings.FindService("a")->FindEndpoint("one")->state ==
                   settings::AdministrativeState::kServing);
  }

  void RefusesWhatIsUnclear() {
    CPPUNIT_ASSERT_EQUAL(std::string("target: one: may mean: endpoint a/one endpoint b/one\n"),
                         Refusal("one"));
    CPPUNIT_ASSERT_EQUAL(std::string("target: east: may mean: zone north/east zone south/east\n"),
                         Refusal("east"));
    CPPUNIT_ASSERT_EQUAL(std::string("target: two: may mean: endpoint b/two zone north/two\n"),
                         Refusal("two"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("target: tow: is neither an endpoint nor a zone of the tree\n"),
        Refusal("tow"));
  }

  void RefusesWhatIsSoAlready() {
    CPPUNIT_ASSERT(Refusal("b/one").find("is draining already, from region south") !=
                   std::string::npos);
    CPPUNIT_ASSERT(
        Refusal("b/one", DrainWish::kUndrain).find("drains from region south; undrain it there") !=
        std::string::npos);
    CPPUNIT_ASSERT(Refusal("a/one", DrainWish::kUndrain).find("isn't draining") !=
                   std::string::npos);
    CPPUNIT_ASSERT(Refusal("north/two", DrainWish::kUndrain).find("isn't draining") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainPlanTest);

}  // namespace
}  // namespace gaugevalve::ctl
