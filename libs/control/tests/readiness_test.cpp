#include "gaugevalve/control/readiness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "gaugevalve/control_simulation/hollow_deployment.h"

namespace gaugevalve::control {
namespace {

using control_simulation::HollowDeployment;
using control_simulation::HollowDeploymentSettings;

constexpr std::uint64_t kSeed = 20261202;

// Two balancers and two services of one agent each.
struct Deployment {
  Deployment()
      : simulator(kSeed, simulation::NetworkModel({{"north", "n1"}}, {})),
        nodes(simulator, MakeSettings()) {}

  static HollowDeploymentSettings MakeSettings() {
    HollowDeploymentSettings settings;
    settings.balancers = 2;
    settings.services = 2;
    settings.agents_per_service = 1;
    settings.is_preloaded = false;
    return settings;
  }

  const ControlNode& Core(std::size_t node) const { return nodes.Process(node).Core(); }

  bool RunUntilReady(std::size_t node, Readiness& readiness) {
    return simulator.RunUntil([&] { return readiness.Missing(Core(node)).empty(); },
                              std::chrono::seconds(60));
  }

  simulation::Simulator simulator;
  HollowDeployment nodes;
};

class ReadinessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadinessTest);
  CPPUNIT_TEST(BalancerIsReadyOnceItHasSettingsAndTables);
  CPPUNIT_TEST(AgentIsReadyOnceItsTableIsConfirmed);
  CPPUNIT_TEST(ServiceWithoutAgentsDoesNotBlockReadiness);
  CPPUNIT_TEST(ReadyNodeStaysReady);
  CPPUNIT_TEST(RestartedBalancerComparesRecordsFirst);
  CPPUNIT_TEST_SUITE_END();

  void BalancerIsReadyOnceItHasSettingsAndTables() {
    Deployment deployment;
    Readiness readiness;
    const std::vector<std::string> missing = readiness.Missing(deployment.Core(0));
    CPPUNIT_ASSERT(std::find(missing.begin(), missing.end(), "no settings in force") !=
                   missing.end());
    CPPUNIT_ASSERT(deployment.RunUntilReady(0, readiness));
    const NodeView& view = *deployment.Core(0).View();
    CPPUNIT_ASSERT(view.revision > base::Revision());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.services.size());
    CPPUNIT_ASSERT(view.confirmed_at != base::TimePoint{});
  }

  void AgentIsReadyOnceItsTableIsConfirmed() {
    Deployment deployment;
    const std::size_t agent = deployment.nodes.BalancerCount();
    Readiness readiness;
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, readiness.Missing(deployment.Core(agent)).size());
    CPPUNIT_ASSERT(deployment.RunUntilReady(agent, readiness));
    const NodeView& view = *deployment.Core(agent).View();
    CPPUNIT_ASSERT(view.own_service != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.services.size());
    CPPUNIT_ASSERT(view.confirmed_at != base::TimePoint{});
  }

  void ServiceWithoutAgentsDoesNotBlockReadiness() {
    Deployment deployment;
    const std::size_t agent = deployment.nodes.BalancerCount();
    const base::ServiceId service = deployment.Core(agent).Options().metadata.service;
    deployment.nodes.Kill(agent);
    Readiness readiness;
    CPPUNIT_ASSERT(deployment.RunUntilReady(0, readiness));
    CPPUNIT_ASSERT(deployment.Core(0).Directory().AgentsOf(service).empty());
  }

  // Readiness is kept for one incarnation; the next one starts with a new Readiness.
  void ReadyNodeStaysReady() {
    Deployment deployment;
    Readiness readiness;
    CPPUNIT_ASSERT(deployment.RunUntilReady(0, readiness));
    deployment.nodes.Restart(0);
    CPPUNIT_ASSERT(readiness.Missing(deployment.Core(0)).empty());
    CPPUNIT_ASSERT(!Readiness().Missing(deployment.Core(0)).empty());
  }

  // A restarted balancer with settings and tables can't tell whether a peer has newer ones until it
  // has compared its records.
  void RestartedBalancerComparesRecordsFirst() {
    Deployment deployment;
    Readiness first_readiness;
    CPPUNIT_ASSERT(deployment.RunUntilReady(0, first_readiness));
    deployment.simulator.RunFor(std::chrono::seconds(20));
    deployment.nodes.Restart(0);
    Readiness readiness;
    bool only_comparison_missing = false;
    CPPUNIT_ASSERT(deployment.simulator.RunUntil(
        [&] {
          const std::vector<std::string> missing = readiness.Missing(deployment.Core(0));
          only_comparison_missing =
              only_comparison_missing ||
              missing ==
                  std::vector<std::string>{"records not yet found equal with another node's"};
          return missing.empty();
        },
        std::chrono::seconds(60)));
    CPPUNIT_ASSERT(only_comparison_missing);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadinessTest);

}  // namespace
}  // namespace gaugevalve::control
