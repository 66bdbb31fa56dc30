#include "experiment.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

#include "report_writer.h"

namespace gaugevalve::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 7;

// Two services in two zones, short flows, and every kind of planned change at once.
Scenario MakeScenario() {
  Scenario scenario;
  scenario.name = "test";
  scenario.seed = kSeed;
  scenario.duration = seconds(120);
  scenario.zones = {"north", "east"};
  scenario.balancer_zones = {"north", "east", "north", "east"};
  for (const char* name : {"first", "second"}) {
    ServiceScenario service;
    service.name = name;
    service.endpoint_zones = {"north", "east", "north"};
    service.flow_arrivals_per_second = 10;
    service.mean_flow_length = seconds(30);
    service.keepalive = seconds(5);
    service.idle_timeout = seconds(20);
    service.requests_per_flow_per_second = 0.2;
    service.hand_over = true;
    service.planner.cold_start_ramp = seconds(10);
    scenario.services.push_back(service);
  }
  return scenario;
}

Fault MakeFault(base::Duration at, FaultKind kind, const std::string& target) {
  Fault fault;
  fault.at = at;
  fault.kind = kind;
  fault.target = target;
  fault.service = "first";
  fault.zone = "east";
  fault.length = seconds(10);
  return fault;
}

std::vector<Fault> PlannedChanges() {
  return {MakeFault(seconds(40), FaultKind::kDrainAgent, "first-1"),
          MakeFault(seconds(41), FaultKind::kStartAgent, ""),
          MakeFault(seconds(42), FaultKind::kKillBalancer, "balancer-1"),
          MakeFault(seconds(43), FaultKind::kJoinBalancer, ""),
          MakeFault(seconds(50), FaultKind::kFreezeBalancer, "balancer-2"),
          MakeFault(seconds(70), FaultKind::kDrainAgent, "first-2")};
}

RunResults RunPolicy(const Scenario& scenario, Policy policy, const Mechanisms& mechanisms = {}) {
  Experiment experiment(scenario, policy, mechanisms);
  return experiment.Run([](base::Duration) {});
}

class ExperimentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExperimentTest);
  CPPUNIT_TEST(SameSeedSameBytes);
  CPPUNIT_TEST(PlannedChangesBreakNoFlowWhereBaselinesDo);
  CPPUNIT_TEST(WithoutTheChainWalkFlowsBreak);
  CPPUNIT_TEST(KilledAgentLosesOnlyItsOwnFlows);
  CPPUNIT_TEST(RecycledAddressServesNoOtherService);
  CPPUNIT_TEST(AgentCutOffFromControlOpensNothingThatOthersOpen);
  CPPUNIT_TEST(ShortFreezeBreaksNothing);
  CPPUNIT_TEST(OfferedLoadIsTheSameUnderEveryPolicy);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SameSeedSameBytes() {
    Scenario scenario = MakeScenario();
    scenario.faults = PlannedChanges();
    const std::string first = TextOf(RunPolicy(scenario, Policy::kGaugevalve));
    CPPUNIT_ASSERT_EQUAL(first, TextOf(RunPolicy(scenario, Policy::kGaugevalve)));
    scenario.seed = kSeed + 1;
    CPPUNIT_ASSERT(first != TextOf(RunPolicy(scenario, Policy::kGaugevalve)));
  }

  void PlannedChangesBreakNoFlowWhereBaselinesDo() {
    Scenario scenario = MakeScenario();
    scenario.faults = PlannedChanges();
    const RunResults ours = RunPolicy(scenario, Policy::kGaugevalve);
    for (const ServiceResults& service : ours.services) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, service.BrokenInAll());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, service.flows_refused);
      CPPUNIT_ASSERT(service.flows_opened > 1000);
      CPPUNIT_ASSERT(service.last_new_flow_after_drain <= seconds(3));
      CPPUNIT_ASSERT(service.last_request_after_drain <= seconds(3));
    }
    CPPUNIT_ASSERT(ours.services[0].moved_buckets > 0);
    CPPUNIT_ASSERT(RunPolicy(scenario, Policy::kModulo).services[0].BrokenInAll() > 0);
    CPPUNIT_ASSERT(RunPolicy(scenario, Policy::kMaglev).services[0].BrokenInAll() > 0);
  }

  void WithoutTheChainWalkFlowsBreak() {
    Scenario scenario = MakeScenario();
    scenario.faults = PlannedChanges();
    const RunResults results = RunPolicy(scenario, Policy::kGaugevalve, {.chain_walk = false});
    CPPUNIT_ASSERT(results.services[0].broken.contains("reached_another_agent"));
  }

  void KilledAgentLosesOnlyItsOwnFlows() {
    Scenario scenario = MakeScenario();
    scenario.faults = {MakeFault(seconds(60), FaultKind::kKillAgent, "first-1")};
    const RunResults results = RunPolicy(scenario, Policy::kGaugevalve);
    const std::uint64_t killed = results.services[0].broken.at("agent_killed");
    CPPUNIT_ASSERT(killed > 0);
    CPPUNIT_ASSERT_EQUAL(killed, results.services[0].BrokenInAll());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, results.services[1].BrokenInAll());
  }

  void RecycledAddressServesNoOtherService() {
    Scenario scenario = MakeScenario();
    scenario.faults = {MakeFault(seconds(60), FaultKind::kRecycleAddress, "second-1")};
    const RunResults ours = RunPolicy(scenario, Policy::kGaugevalve);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, ours.services[1].wrong_service);
    CPPUNIT_ASSERT(ours.services[1].retries.contains("foreign_service"));
    CPPUNIT_ASSERT(RunPolicy(scenario, Policy::kModulo).services[1].wrong_service > 0);
  }

  // Balancers go on sending to it, and membership's news come while its table is fresh.
  void AgentCutOffFromControlOpensNothingThatOthersOpen() {
    Scenario scenario = MakeScenario();
    scenario.lag.membership = milliseconds(1400);
    scenario.services[0].flow_arrivals_per_second = 60;
    scenario.faults = {MakeFault(seconds(60), FaultKind::kCutOffAgent, "first-1"),
                       MakeFault(seconds(85), FaultKind::kCutOffAgent, "first-2")};
    const ServiceResults ours = RunPolicy(scenario, Policy::kGaugevalve).services[0];
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, ours.flows_opened_unlisted);
    CPPUNIT_ASSERT(ours.broken.at("agent_taken_for_dead") > 0);
    CPPUNIT_ASSERT_EQUAL(ours.broken.at("agent_taken_for_dead"), ours.BrokenInAll());
    scenario.services[0].planner.dead_agent_hold = seconds(0);
    CPPUNIT_ASSERT(RunPolicy(scenario, Policy::kGaugevalve).services[0].flows_opened_unlisted > 0);
  }

  void ShortFreezeBreaksNothing() {
    Scenario scenario = MakeScenario();
    scenario.faults = {MakeFault(seconds(60), FaultKind::kFreezeAgent, "first-1")};
    scenario.faults[0].length = milliseconds(1500);
    const ServiceResults results = RunPolicy(scenario, Policy::kGaugevalve).services[0];
    CPPUNIT_ASSERT(results.retries.contains("frozen_agent"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, results.BrokenInAll());
    scenario.faults[0].length = seconds(10);
    const ServiceResults longer = RunPolicy(scenario, Policy::kGaugevalve).services[0];
    CPPUNIT_ASSERT_EQUAL(longer.broken.at("agent_taken_for_dead"), longer.BrokenInAll());
  }

  void OfferedLoadIsTheSameUnderEveryPolicy() {
    Scenario scenario = MakeScenario();
    scenario.faults = PlannedChanges();
    const RunResults bound = RunPolicy(scenario, Policy::kOmniscient);
    for (const Policy policy : kAllPolicies) {
      const RunResults results = RunPolicy(scenario, policy);
      for (std::size_t service = 0; service < bound.services.size(); ++service) {
        CPPUNIT_ASSERT(bound.services[service].requests_offered > 1000);
        CPPUNIT_ASSERT_EQUAL(bound.services[service].requests_offered,
                             results.services[service].requests_offered);
      }
    }
  }

 private:
  static std::string TextOf(const RunResults& results) {
    std::ostringstream text;
    WriteTables({results}, {}, text);
    WriteCsv({results}, text);
    WriteJson({results}, {}, text);
    return text.str();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExperimentTest);

}  // namespace
}  // namespace gaugevalve::lab
