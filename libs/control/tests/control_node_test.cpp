#include "gaugevalve/control/control_node.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "gaugevalve/control_simulation/hollow_deployment.h"
#include "gaugevalve/routing/freshness.h"

namespace gaugevalve::control {
namespace {

using control_simulation::HollowDeployment;
using control_simulation::HollowDeploymentSettings;

// Two regions with three zones, six balancers and two services of three agents.
struct Deployment {
  explicit Deployment(std::uint64_t seed, std::uint32_t settings_schema = 1)
      : simulator(seed, simulation::NetworkModel(
                            {{"north", "n1"}, {"north", "n2"}, {"south", "s1"}}, {})),
        nodes(simulator, MakeSettings(settings_schema)) {}

  static HollowDeploymentSettings MakeSettings(std::uint32_t settings_schema) {
    HollowDeploymentSettings settings;
    settings.balancers = 6;
    settings.services = 2;
    settings.agents_per_service = 3;
    settings.is_preloaded = false;
    settings.options.metadata.settings_schema = settings_schema;
    return settings;
  }

  bool RunUntilInForce(base::Revision revision) {
    return simulator.RunUntil([&] { return nodes.IsInForceEverywhere(revision); },
                              std::chrono::seconds(60));
  }

  bool RunUntilOneTable() {
    return simulator.RunUntil([&] { return nodes.HasOneTable(0) && nodes.HasOneTable(1); },
                              std::chrono::seconds(60));
  }

  std::size_t CountStoreReaders() {
    std::size_t readers = 0;
    for (std::size_t node = 0; node < nodes.BalancerCount(); ++node) {
      const bool reads =
          nodes.IsRunning(node) && nodes.Process(node).Core().ShouldUseStore(simulator.Now());
      readers += reads ? 1 : 0;
    }
    return readers;
  }

  simulation::Simulator simulator;
  HollowDeployment nodes;
};

class ControlNodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlNodeTest);
  CPPUNIT_TEST(StartsFromNothing);
  CPPUNIT_TEST(EditReachesEveryBalancer);
  CPPUNIT_TEST(AgentsGetTheirServiceAndConfirmation);
  CPPUNIT_TEST(DeadAgentLosesItsBuckets);
  CPPUNIT_TEST(AgentsKnowWhichAgentsOfTheirServiceLive);
  CPPUNIT_TEST(AnotherPlannerTakesOver);
  CPPUNIT_TEST(AgentsAreConfirmedWithinTheFreshnessLimitAfterPlannerDeath);
  CPPUNIT_TEST(JoinsDuringStoreOutage);
  CPPUNIT_TEST(RegionsSplitAndHeal);
  CPPUNIT_TEST(OlderReleaseIsCountedBeforeItIsInService);
  CPPUNIT_TEST_SUITE_END();

  // A balancer of an older release must be counted in the stored capabilities before it goes into
  // service. The tree needs settings schema 1, which is what the older release understands; the
  // other balancers understand schema 2.
  void OlderReleaseIsCountedBeforeItIsInService() {
    constexpr std::size_t kOlder = 5;
    Deployment deployment(8, 2);
    HollowDeployment& nodes = deployment.nodes;
    const auto stored = [&](std::uint32_t schema) {
      return nodes.Store().StoredCapabilities() == settings::Capabilities{schema};
    };
    const auto run_until = [&](const std::function<bool()>& condition) {
      return deployment.simulator.RunUntil(condition, std::chrono::minutes(3));
    };
    CPPUNIT_ASSERT(deployment.RunUntilInForce(base::Revision(1)));
    CPPUNIT_ASSERT(run_until([&] { return stored(2); }));
    nodes.SetSettingsSchema(kOlder, 1);
    nodes.Restart(kOlder);
    bool counted_first = false;
    const auto in_service = [&] {
      const bool serves = nodes.Process(kOlder).Core().Settings().Active().settings != nullptr;
      counted_first = counted_first || (!serves && stored(1));
      return serves;
    };
    CPPUNIT_ASSERT(run_until(in_service));
    CPPUNIT_ASSERT(counted_first);
    nodes.Kill(kOlder);
    CPPUNIT_ASSERT(run_until([&] { return stored(2); }));
  }

  void StartsFromNothing() {
    Deployment deployment(1);
    CPPUNIT_ASSERT(deployment.RunUntilInForce(base::Revision(1)));
    CPPUNIT_ASSERT(deployment.RunUntilOneTable());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, deployment.CountStoreReaders());  // two per region
    const NodeView& view = *deployment.nodes.Process(0).Core().View();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.services.size());
    CPPUNIT_ASSERT(view.services[0].virtual_address < view.services[1].virtual_address);
  }

  void EditReachesEveryBalancer() {
    Deployment deployment(2);
    CPPUNIT_ASSERT(deployment.RunUntilInForce(base::Revision(1)));
    for (std::uint32_t weight = 1; weight <= 5; ++weight) {
      const base::Revision revision = deployment.nodes.Edit(weight % 2, weight);
      CPPUNIT_ASSERT(deployment.RunUntilInForce(revision));
    }
    for (std::size_t node = 0; node < deployment.nodes.BalancerCount(); ++node) {
      const std::vector<base::Revision>& seen = deployment.nodes.Process(node).Activations();
      CPPUNIT_ASSERT(std::is_sorted(seen.begin(), seen.end()));
    }
  }

  void AgentsGetTheirServiceAndConfirmation() {
    Deployment deployment(3);
    CPPUNIT_ASSERT(deployment.RunUntilInForce(base::Revision(1)));
    deployment.simulator.RunFor(std::chrono::seconds(20));
    const std::size_t agent = deployment.nodes.BalancerCount();
    const NodeView& view = *deployment.nodes.Process(agent).Core().View();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.services.size());
    CPPUNIT_ASSERT(view.own_service != nullptr);
    CPPUNIT_ASSERT(view.confirmed_at > deployment.simulator.Now() - std::chrono::seconds(5));
  }

  void DeadAgentLosesItsBuckets() {
    Deployment deployment(4);
    CPPUNIT_ASSERT(deployment.RunUntilInForce(base::Revision(1)));
    CPPUNIT_ASSERT(deployment.RunUntilOneTable());
    deployment.simulator.RunFor(std::chrono::seconds(10));
    const std::size_t killed_agent = deployment.nodes.BalancerCount();
    const base::ServiceId service = base::MakeServiceId(HollowDeployment::ServiceName(0));
    const base::NodeId dead =
        base::MakeNodeId(deployment.nodes.Process(killed_agent).Core().Options().name);
    const auto owns_nothing = [&] {
      const auto table = deployment.nodes.Process(0).Core().TableOf(service);
      return std::none_of(table->buckets.begin(), table->buckets.end(),
                          [&](const routing::Bucket& bucket) { return bucket.owner == dead; });
    };
    CPPUNIT_ASSERT(!owns_nothing());
    deployment.nodes.Kill(killed_agent);
    CPPUNIT_ASSERT(deployment.simulator.RunUntil(owns_nothing, std::chrono::seconds(60)));
  }

  void AgentsKnowWhichAgentsOfTheirServiceLive() {
    Deployment deployment(9);
    CPPUNIT_ASSERT(deployment.RunUntilInForce(base::Revision(1)));
    deployment.simulator.RunFor(std::chrono::seconds(20));
    const std::size_t first = deployment.nodes.BalancerCount();
    const base::ServiceId service =
        deployment.nodes.Process(first).Core().Options().metadata.service;
    std::size_t other = first + 1;
    while (deployment.nodes.Process(other).Core().Options().metadata.service != service) {
      ++other;
    }
    const auto live = [&] {
      return *deployment.nodes.Process(first).Core().View()->services.at(0).live_agents;
    };
    const base::NodeId killed =
        base::MakeNodeId(deployment.nodes.Process(other).Core().Options().name);
    const auto lists_killed = [&] {
      const routing::LiveAgents agents = live();
      return std::any_of(agents.begin(), agents.end(), [&](const routing::AgentIncarnation& agent) {
        return agent.node == killed;
      });
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, live().size());
    CPPUNIT_ASSERT(lists_killed());
    deployment.nodes.Kill(other);
    CPPUNIT_ASSERT(
        deployment.simulator.RunUntil([&] { return !lists_killed(); }, std::chrono::seconds(60)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, live().size());
    deployment.nodes.Restart(other);
    CPPUNIT_ASSERT(deployment.simulator.RunUntil(lists_killed, std::chrono::seconds(60)));
  }

  void AnotherPlannerTakesOver() {
    Deployment deployment(5);
    // A roster is published and planners run.
    deployment.simulator.RunFor(std::chrono::seconds(30));
    const base::ServiceId service = base::MakeServiceId(HollowDeployment::ServiceName(0));
    const std::optional<ElectedPlanner> first =
        deployment.nodes.Process(0).Core().PlannerOf(service);
    const std::size_t planner = BalancerNamed(deployment, first->node);
    const std::size_t other = (planner + 1) % deployment.nodes.BalancerCount();
    const routing::TableVersion before =
        deployment.nodes.Process(other).Core().TableOf(service)->version;
    deployment.nodes.Store().SetAvailable(false);  // a take-over needs no store
    deployment.nodes.Kill(planner);
    const auto taken_over = [&] {
      const routing::TableVersion now =
          deployment.nodes.Process(other).Core().TableOf(service)->version;
      return now.generation > before.generation;
    };
    CPPUNIT_ASSERT(deployment.simulator.RunUntil(taken_over, std::chrono::seconds(60)));
    CPPUNIT_ASSERT(deployment.RunUntilOneTable());
  }

  // Agents open no flows once their confirmation is older than routing::kFreshnessLimit. Measures
  // the longest time that agents of a service go without a confirmation when their planner is
  // killed, over several deployments.
  void AgentsAreConfirmedWithinTheFreshnessLimitAfterPlannerDeath() {
    constexpr std::uint64_t kDeployments = 10;
    constexpr auto kStep = std::chrono::milliseconds(50);
    constexpr auto kObserved = std::chrono::seconds(10);
    base::Duration longest{};
    for (std::uint64_t seed = 1; seed <= kDeployments; ++seed) {
      Deployment deployment(seed);
      deployment.simulator.RunFor(std::chrono::seconds(30));
      KillPlannerOfFirstService(deployment);
      for (base::Duration passed{}; passed < kObserved; passed += kStep) {
        deployment.simulator.RunFor(kStep);
        longest = std::max(longest, LongestUnconfirmed(deployment));
      }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(longest / std::chrono::milliseconds(1)),
                           longest <= routing::kFreshnessLimit);
  }

  static void KillPlannerOfFirstService(Deployment& deployment) {
    const base::ServiceId service = base::MakeServiceId(HollowDeployment::ServiceName(0));
    const std::optional<ElectedPlanner> elected =
        deployment.nodes.Process(0).Core().PlannerOf(service);
    deployment.nodes.Kill(BalancerNamed(deployment, elected->node));
  }

  static std::size_t BalancerNamed(const Deployment& deployment, base::NodeId node) {
    std::size_t index = 0;
    while (base::MakeNodeId(deployment.nodes.Process(index).Core().Options().name) != node) {
      ++index;
    }
    return index;
  }

  static base::Duration LongestUnconfirmed(const Deployment& deployment) {
    base::Duration longest{};
    for (std::size_t node = deployment.nodes.BalancerCount(); node < deployment.nodes.Size();
         ++node) {
      const NodeView& view = *deployment.nodes.Process(node).Core().View();
      longest = std::max(longest, deployment.simulator.Now() - view.confirmed_at);
    }
    return longest;
  }

  void JoinsDuringStoreOutage() {
    Deployment deployment(6);
    CPPUNIT_ASSERT(deployment.RunUntilOneTable());
    const base::Revision revision = deployment.nodes.Edit(0, 7);
    CPPUNIT_ASSERT(deployment.RunUntilInForce(revision));
    deployment.nodes.Store().SetAvailable(false);
    for (std::size_t node = 0; node + 1 < deployment.nodes.BalancerCount(); ++node) {
      deployment.nodes.Restart(node);
      deployment.simulator.RunFor(std::chrono::seconds(10));
    }
    CPPUNIT_ASSERT(deployment.RunUntilInForce(revision));
    CPPUNIT_ASSERT(deployment.RunUntilOneTable());
  }

  void RegionsSplitAndHeal() {
    Deployment deployment(7);
    CPPUNIT_ASSERT(deployment.RunUntilOneTable());
    deployment.simulator.Network().BlockRegions("north", "south");
    deployment.simulator.RunFor(std::chrono::seconds(60));
    const base::Revision revision = deployment.nodes.Edit(1, 9);
    CPPUNIT_ASSERT(deployment.RunUntilInForce(revision));  // both sides have store readers
    deployment.simulator.Network().HealPartitions();
    deployment.simulator.RunFor(std::chrono::seconds(30));
    CPPUNIT_ASSERT(deployment.RunUntilOneTable());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlNodeTest);

}  // namespace
}  // namespace gaugevalve::control
