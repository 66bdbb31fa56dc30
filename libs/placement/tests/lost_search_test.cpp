// Tests of searches that are lost at living agents whose endpoints have crashed (soak, seed
// 712798855: flows of a former service waited for 2.4 to 3.8 s).
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <optional>
#include <set>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/placement/balancer_core.h"
#include "placement_fixture.h"

namespace gaugevalve::placement {
namespace {

using testing::At;
using testing::Data;
using testing::drawings_service;
using testing::Flow;
using testing::Node;
using testing::orders_service;
using testing::Routes;
using testing::virtual_address;

// When a client that gets no answer sends its packet, in milliseconds (RFC 6298 with a first
// time-out of 200 ms).
constexpr std::array kCopiesMs{0, 200, 600, 1400, 3000};
constexpr std::int64_t kLearnedMs = 10'000;
constexpr std::int64_t kReportPeriodMs = 250;
constexpr std::uint16_t kFlows = 100;
constexpr std::uint32_t kFirstOfFormerService = 11;

// The route has the service of the agents 1 to 4; it had the service of the agents from 11 on
// before the balancer started.
class LostSearchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LostSearchTest);
  CPPUNIT_TEST(AFlowOfAFormerServiceIsFoundBehindACrashedEndpointOfThePresentOne);
  CPPUNIT_TEST(AFlowOfAFormerServiceIsFoundThoughAnEndpointOfEachServiceCrashed);
  CPPUNIT_TEST(AFlowOfThePresentServiceIsFoundBehindACrashedEndpoint);
  CPPUNIT_TEST(AFlowOfAFormerServiceIsFoundBeforeSilentAgentsAreAsked);
  CPPUNIT_TEST(ALivingFlowIsNotReset);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_core.emplace(BalancerSettings{.zone = "east"}, m_random, At(0));
    CPPUNIT_ASSERT(m_core->SetRoutes(Routes(1)));
    m_dead.clear();
    m_reset_count = 0;
    m_now_ms = kLearnedMs;
    ReportAll();
  }

  void AFlowOfAFormerServiceIsFoundBehindACrashedEndpointOfThePresentOne() {
    m_dead = {Node(1)};
    ExpectFoundBy(2, 200);
  }

  void AFlowOfAFormerServiceIsFoundThoughAnEndpointOfEachServiceCrashed() {
    m_dead = {Node(1), Node(11)};
    ExpectFoundBy(4, 1400);
  }

  void AFlowOfThePresentServiceIsFoundBehindACrashedEndpoint() {
    m_dead = {Node(1)};
    m_holder = Node(2);
    ExpectFoundBy(2, 200);
  }

  // Soak, seed 840466069: all balancers were killed three times in three seconds while an agent was
  // paused. Each new balancer had time for one search, which ended at the paused agent.
  void AFlowOfAFormerServiceIsFoundBeforeSilentAgentsAreAsked() {
    m_core->NoteListed({Node(5), orders_service}, At(m_now_ms));
    m_dead = {Node(5)};
    ExpectFoundBy(1, 0);
  }

  void ALivingFlowIsNotReset() {
    m_dead = {Node(1), Node(3), Node(11)};
    for (std::uint16_t port = 1; port <= kFlows; ++port) {
      SearchUntilFound(port);
    }
    CPPUNIT_ASSERT_EQUAL(0, m_reset_count);
  }

 private:
  // Searches for many flows, each of which must be found by the client's copy of this number.
  void ExpectFoundBy(std::size_t copies, std::int64_t limit_ms) {
    for (std::uint16_t port = 1; port <= kFlows; ++port) {
      const std::optional<std::size_t> found_by = SearchUntilFound(port);
      CPPUNIT_ASSERT(found_by.has_value());
      CPPUNIT_ASSERT(*found_by <= copies);
      CPPUNIT_ASSERT(kCopiesMs.at(*found_by - 1) <= limit_ms);
    }
    CPPUNIT_ASSERT_EQUAL(0, m_reset_count);
  }

  // Returns the number of copies after which the holder has got the packet.
  std::optional<std::size_t> SearchUntilFound(std::uint16_t port) {
    const std::int64_t begin = m_now_ms;
    for (std::size_t copy = 0; copy < kCopiesMs.size(); ++copy) {
      AdvanceTo(begin + kCopiesMs.at(copy));
      if (Send(Data(Flow(port), 101))) {
        return copy + 1;
      }
      AnswerQueries();
    }
    return std::nullopt;
  }

  // Sends the packet along the routes of a search. Returns whether the holder got it.
  bool Send(const FlowPacket& packet) {
    BalancerDecision decision = m_core->OnClientPacket(packet, At(m_now_ms));
    while (decision.verdict == BalancerVerdict::kForward) {
      std::vector<base::SocketAddress> way{decision.agent};
      way.insert(way.end(), decision.route.begin(), decision.route.end());
      for (const base::SocketAddress& agent : way) {
        if (agent == m_holder) {
          m_core->OnHolderNotice(packet.flow, agent, drawings_service, At(m_now_ms));
          return true;
        }
        if (m_dead.contains(agent)) {
          return false;
        }
      }
      ForwardHeader header = decision.header;
      header.kind = MessageKind::kReturned;
      header.reason = ReturnReason::kNotHeld;
      decision = m_core->OnReturnedPacket(packet, header, way.back(), At(m_now_ms));
    }
    m_reset_count += decision.verdict == BalancerVerdict::kReset ? 1 : 0;
    return false;
  }

  // All agents live and report, also those beside crashed endpoints.
  void AdvanceTo(std::int64_t time_ms) {
    while (m_next_report_ms <= time_ms) {
      m_now_ms = m_next_report_ms;
      ReportAll();
    }
    m_now_ms = time_ms;
  }

  void AnswerQueries() {
    for (const base::SocketAddress& agent : m_core->TakeSuspects(At(m_now_ms))) {
      Report(agent);
    }
  }

  void ReportAll() {
    for (const std::uint32_t number : {1U, 2U, 3U, 4U, 11U, 12U, 13U}) {
      Report(Node(number));
    }
    m_core->Tick(At(m_now_ms));
    m_next_report_ms = m_now_ms + kReportPeriodMs;
  }

  void Report(const base::SocketAddress& agent) {
    AgentReport report = testing::Report(++m_sequence);
    if (agent >= Node(kFirstOfFormerService)) {
      report.service = drawings_service;
      report.held.addresses = {virtual_address};
    }
    m_core->OnReport(agent, report, At(m_now_ms));
  }

  base::RandomSource m_random{1};
  std::optional<BalancerCore> m_core;
  std::set<base::SocketAddress> m_dead;  // agents whose endpoints have crashed
  base::SocketAddress m_holder = Node(12);
  std::int64_t m_now_ms = 0;
  std::int64_t m_next_report_ms = 0;
  std::uint64_t m_sequence = 0;
  int m_reset_count = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostSearchTest);

}  // namespace
}  // namespace gaugevalve::placement
