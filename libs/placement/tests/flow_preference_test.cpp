// Tests the preferred endpoints of flows, and how balancers without a record find flows there.
#include "gaugevalve/placement/flow_preference.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/placement/balancer_core.h"
#include "gaugevalve/placement/flow_hash.h"
#include "placement_fixture.h"

namespace gaugevalve::placement {
namespace {

using testing::At;
using testing::Data;
using testing::Flow;
using testing::Node;
using testing::Opening;
using testing::orders_service;
using testing::Report;
using testing::Routes;

constexpr std::uint32_t kZones = 5;
constexpr std::uint16_t kFlows = 200;

std::string ZoneOf(std::uint32_t number) { return "zone-" + std::to_string(number % kZones); }

class FlowPreferenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowPreferenceTest);
  CPPUNIT_TEST(TheOrderDependsOnTheFlowOnly);
  CPPUNIT_TEST(EachZoneHasItsFirstTier);
  CPPUNIT_TEST(AnAgentNotHeardYetHasTheSameRank);
  CPPUNIT_TEST(RemovingAnAgentShiftsOthersByOneRank);
  CPPUNIT_TEST(ANewBalancersSearchLengthDoesNotGrowWithTheFleet);
  CPPUNIT_TEST(FlowsAreFoundAfterATenthOfTheAgentsChanged);
  CPPUNIT_TEST(FlowsAreFoundBeforeAnyAgentWasHeard);
  CPPUNIT_TEST(OtherAgentsAreTriedWhenThePreferredOnesAreFull);
  CPPUNIT_TEST(OpeningsAreSpreadOverAllAgents);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TheOrderDependsOnTheFlowOnly() {
    std::vector<KnownAgent> agents = Agents(60);
    std::vector<KnownAgent*> forward = PointersTo(agents);
    std::vector<KnownAgent*> backward(forward.rbegin(), forward.rend());
    CPPUNIT_ASSERT(PreferredForFlow(1, forward) == PreferredForFlow(1, backward));
    CPPUNIT_ASSERT(PreferredForFlow(1, forward) != PreferredForFlow(2, forward));
  }

  void EachZoneHasItsFirstTier() {
    std::vector<KnownAgent> agents = Agents(544);
    std::map<std::uint32_t, std::size_t> first;
    for (const KnownAgent* agent : PreferredForFlow(7, PointersTo(agents))) {
      ++first[agent->zone];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kZones}, first.size());
    for (const auto& [zone, count] : first) {
      CPPUNIT_ASSERT_EQUAL(kPreferredPerZone, count);
    }
    std::vector<KnownAgent> few = Agents(12);
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, PreferredForFlow(7, PointersTo(few)).size());
  }

  void AnAgentNotHeardYetHasTheSameRank() {
    AgentDirectory heard(100, std::chrono::seconds(1));
    AgentDirectory named(100, std::chrono::seconds(1));
    for (std::uint32_t number = 0; number < 60; ++number) {
      AgentReport report = Report(1);
      report.zone = ZoneOf(number);
      heard.Take(Node(number), report, At(0));
      named.NoteListed({Node(number), orders_service, ZoneHash(ZoneOf(number))}, At(0));
    }
    const auto addresses = [](AgentDirectory& directory) {
      std::vector<base::SocketAddress> list;
      for (const KnownAgent* agent : PreferredForFlow(9, directory.OfService(orders_service))) {
        list.push_back(agent->address);
      }
      return list;
    };
    CPPUNIT_ASSERT(addresses(heard) == addresses(named));
  }

  void RemovingAnAgentShiftsOthersByOneRank() {
    std::vector<KnownAgent> agents = Agents(544);
    std::vector<KnownAgent*> all = PointersTo(agents);
    const std::vector<KnownAgent*> before = PreferredForFlow(3, all);
    std::erase(all, before.front());
    const std::vector<KnownAgent*> after = PreferredForFlow(3, all);
    CPPUNIT_ASSERT_EQUAL(before.size(), after.size());
    const auto stays = [&](const KnownAgent* agent) {
      return std::find(after.begin(), after.end(), agent) != after.end();
    };
    CPPUNIT_ASSERT(std::all_of(before.begin() + 1, before.end(), stays));
  }

  void ANewBalancersSearchLengthDoesNotGrowWithTheFleet() {
    for (const std::uint32_t size : {60U, 544U, 3'800U}) {
      Restart(size);
      const std::vector<base::SocketAddress> holders = PlaceAll();
      Restart(size);
      for (std::uint16_t port = 0; port < kFlows; ++port) {
        CPPUNIT_ASSERT(CountAgentsAskedUntil(holders[port], port) <= kPreferredPerZone * kZones);
      }
    }
  }

  // A tenth of the agents was replaced by others after the flows were opened.
  void FlowsAreFoundAfterATenthOfTheAgentsChanged() {
    Restart(544);
    const std::vector<base::SocketAddress> holders = PlaceAll();
    m_core = MakeCore();
    for (std::uint32_t number = 0; number < 544; ++number) {
      Hear(number % 10 == 3 ? 10'000 + number : number, ZoneOf(number));
    }
    std::size_t found_first = 0;
    std::size_t still_there = 0;
    for (std::uint16_t port = 0; port < kFlows; ++port) {
      const bool has_gone = m_core->Agents().Find(holders[port]) == nullptr;
      still_there += has_gone ? 0 : 1;
      found_first +=
          !has_gone && CountAgentsAskedUntil(holders[port], port) <= 2 * SearchRoute::kMaxAgents;
    }
    CPPUNIT_ASSERT(still_there > kFlows / 2);
    CPPUNIT_ASSERT_EQUAL(still_there, found_first);
  }

  // The first packets arrive while a balancer that has just started has only been told the agents'
  // addresses.
  void FlowsAreFoundBeforeAnyAgentWasHeard() {
    Restart(544);
    const std::vector<base::SocketAddress> holders = PlaceAll();
    m_core = MakeCore();
    for (std::uint32_t number = 0; number < 544; ++number) {
      m_core->NoteListed({Node(number), orders_service, ZoneHash(ZoneOf(number))}, m_now);
    }
    for (std::uint16_t port = 0; port < kFlows; ++port) {
      CPPUNIT_ASSERT(CountAgentsAskedUntil(holders[port], port) <= kPreferredPerZone * kZones);
    }
  }

  void OtherAgentsAreTriedWhenThePreferredOnesAreFull() {
    Restart(544);
    std::vector<base::SocketAddress> asked;
    BalancerDecision decision = m_core->OnClientPacket(Opening(Flow(1)), m_now);
    for (int count = 0; count < 60 && decision.verdict == BalancerVerdict::kForward; ++count) {
      asked.push_back(decision.agent);
      decision = Return(Opening(Flow(1)), decision, ReturnReason::kNotAdmitting);
    }
    std::sort(asked.begin(), asked.end());
    CPPUNIT_ASSERT(std::adjacent_find(asked.begin(), asked.end()) == asked.end());
    CPPUNIT_ASSERT_EQUAL(std::size_t{60}, asked.size());
  }

  void OpeningsAreSpreadOverAllAgents() {
    Restart(50);
    std::map<base::SocketAddress, std::size_t> counts;
    constexpr std::uint16_t kOpenings = 5'000;
    for (std::uint16_t port = 0; port < kOpenings; ++port) {
      ++counts[m_core->OnClientPacket(Opening(Flow(port)), m_now).agent];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, counts.size());
    for (const auto& [agent, count] : counts) {
      CPPUNIT_ASSERT(count < 2 * kOpenings / 50);
    }
  }

 private:
  static std::vector<KnownAgent> Agents(std::uint32_t count) {
    std::vector<KnownAgent> agents(count);
    for (std::uint32_t number = 0; number < count; ++number) {
      agents[number].address = Node(number);
      agents[number].zone = ZoneHash(ZoneOf(number));
    }
    return agents;
  }

  static std::vector<KnownAgent*> PointersTo(std::vector<KnownAgent>& agents) {
    std::vector<KnownAgent*> pointers;
    pointers.reserve(agents.size());
    for (KnownAgent& agent : agents) {
      pointers.push_back(&agent);
    }
    return pointers;
  }

  std::unique_ptr<BalancerCore> MakeCore() {
    BalancerSettings settings;
    settings.zone = ZoneOf(0);
    auto core = std::make_unique<BalancerCore>(settings, m_random, m_now);
    core->SetRoutes(Routes(1));
    return core;
  }

  // Replaces the balancer with one that has just started and has heard all agents.
  void Restart(std::uint32_t agents) {
    m_core = MakeCore();
    for (std::uint32_t number = 0; number < agents; ++number) {
      Hear(number, ZoneOf(number));
    }
  }

  void Hear(std::uint32_t number, const std::string& zone) {
    AgentReport report = Report(1, number % 2);
    report.zone = zone;
    m_core->OnReport(Node(number), report, m_now);
  }

  std::vector<base::SocketAddress> PlaceAll() {
    std::vector<base::SocketAddress> holders;
    for (std::uint16_t port = 0; port < kFlows; ++port) {
      const BalancerDecision decision = m_core->OnClientPacket(Opening(Flow(port)), m_now);
      CPPUNIT_ASSERT(decision.verdict == BalancerVerdict::kForward);
      holders.push_back(decision.agent);
    }
    return holders;
  }

  // Returns how many agents a search asks up to and including the holder.
  std::size_t CountAgentsAskedUntil(const base::SocketAddress& holder, std::uint16_t port) {
    const FlowPacket packet = Data(Flow(port), 101);
    BalancerDecision decision = m_core->OnClientPacket(packet, m_now);
    std::size_t steps = 0;
    while (decision.verdict == BalancerVerdict::kForward) {
      std::vector<base::SocketAddress> way = {decision.agent};
      way.insert(way.end(), decision.route.begin(), decision.route.end());
      const auto place = std::find(way.begin(), way.end(), holder);
      if (place != way.end()) {
        return steps + static_cast<std::size_t>(place - way.begin()) + 1;
      }
      steps += way.size();
      decision.agent = way.back();
      decision = Return(packet, decision, ReturnReason::kNotHeld);
    }
    CPPUNIT_FAIL("the holder was never asked");
    return 0;
  }

  BalancerDecision Return(const FlowPacket& packet, const BalancerDecision& decision,
                          ReturnReason reason) {
    ForwardHeader header = decision.header;
    header.kind = MessageKind::kReturned;
    header.reason = reason;
    return m_core->OnReturnedPacket(packet, header, decision.agent, m_now);
  }

  base::RandomSource m_random{1};
  std::unique_ptr<BalancerCore> m_core;
  base::TimePoint m_now = At(0);
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowPreferenceTest);

}  // namespace
}  // namespace gaugevalve::placement
