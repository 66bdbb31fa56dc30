// Tests the directories of agents and balancers, route weights, and the encoding of messages.
#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/placement/agent_directory.h"
#include "gaugevalve/placement/balancer_list.h"
#include "gaugevalve/placement/endpoint_chooser.h"
#include "gaugevalve/placement/flow_hash.h"
#include "gaugevalve/placement/forward_header.h"
#include "gaugevalve/placement/load_notice.h"
#include "gaugevalve/placement/node_message.h"
#include "placement_fixture.h"

namespace gaugevalve::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::At;
using testing::kNodePort;
using testing::Node;
using testing::Report;

std::span<const std::uint8_t> BytesOf(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

class NodeKnowledgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeKnowledgeTest);
  CPPUNIT_TEST(LateReportsAreRefused);
  CPPUNIT_TEST(LivesAreNotOrdered);
  CPPUNIT_TEST(TheStateOfAnEndpointSurvivesItsAgentsRestart);
  CPPUNIT_TEST(ALeaveIsRememberedThoughItsAgentStops);
  CPPUNIT_TEST(AListedAgentIsNotFresh);
  CPPUNIT_TEST(AnAgentThatReportsLessOftenStaysFreshForLonger);
  CPPUNIT_TEST(ANoticeUpdatesTheLoadOfAKnownAgent);
  CPPUNIT_TEST(ANoticeThatIsLateOrOfAnotherIncarnationIsIgnored);
  CPPUNIT_TEST(NoticesRoundTrip);
  CPPUNIT_TEST(NoticeValuesAreClampedToTheirFields);
  CPPUNIT_TEST(MalformedNoticesAreRefused);
  CPPUNIT_TEST(SlowAndColdEndpointsCountAsLoaded);
  CPPUNIT_TEST(OwnOpeningsSinceTheReportCount);
  CPPUNIT_TEST(TheOwnZoneIsPreferredAmongEquals);
  CPPUNIT_TEST(SeedsAreAskedWhileNobodyElseAnswers);
  CPPUNIT_TEST(SilentBalancersAreForgotten);
  CPPUNIT_TEST(WeightsGiveShares);
  CPPUNIT_TEST(AWeightOfZeroGetsNothing);
  CPPUNIT_TEST(HeadersRoundTrip);
  CPPUNIT_TEST(SearchRoutesRoundTrip);
  CPPUNIT_TEST(MalformedHeadersAreRefused);
  CPPUNIT_TEST(ReportsRoundTrip);
  CPPUNIT_TEST(GreetingsRoundTrip);
  CPPUNIT_TEST(MalformedMessagesAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LateReportsAreRefused() {
    CPPUNIT_ASSERT(m_agents.Take(Node(1), Report(5), At(0)) == ReportOutcome::kNew);
    CPPUNIT_ASSERT(m_agents.Take(Node(1), Report(5), At(0)) == ReportOutcome::kLate);
    CPPUNIT_ASSERT(m_agents.Take(Node(1), Report(6), At(0)) == ReportOutcome::kTaken);
    const AgentReport leaving = Report(7, 0, EndpointStanding::kLeaving);
    CPPUNIT_ASSERT(m_agents.Take(Node(1), leaving, At(0)) == ReportOutcome::kStandingChanged);
  }

  void LivesAreNotOrdered() {
    AgentReport second = Report(1);
    second.incarnation = base::Incarnation(3);  // smaller than the first one's
    m_agents.Take(Node(1), Report(50), At(0));
    CPPUNIT_ASSERT(m_agents.Take(Node(1), second, At(0)) == ReportOutcome::kNew);
    CPPUNIT_ASSERT(m_agents.Take(Node(1), Report(51), At(0)) == ReportOutcome::kLate);
  }

  void TheStateOfAnEndpointSurvivesItsAgentsRestart() {
    m_agents.Take(Node(1), Report(50), At(0));
    AgentReport restarted = Report(1, 0, EndpointStanding::kUnknown);
    restarted.incarnation = base::Incarnation(3);
    restarted.wants_memory = true;
    m_agents.Take(Node(1), restarted, At(500));
    const KnownAgent* agent = m_agents.Find(Node(1));
    CPPUNIT_ASSERT(agent->memory.has_value());
    CPPUNIT_ASSERT(agent->memory->standing == EndpointStanding::kAdmitting);
    CPPUNIT_ASSERT(agent->memory_at == At(0));
    restarted.sequence = 2;
    restarted.service = testing::drawings_service;
    m_agents.Take(Node(1), restarted, At(600));
    CPPUNIT_ASSERT(!m_agents.Find(Node(1))->memory.has_value());
  }

  // Incident 0018: after a planned restart agents took openings for endpoints that had
  // deregistered.
  void ALeaveIsRememberedThoughItsAgentStops() {
    m_agents.Take(Node(1), Report(50, 0, EndpointStanding::kLeaving), At(0));
    AgentReport stopping = Report(51, 0, EndpointStanding::kStopping);
    stopping.held.addresses = {testing::virtual_address};
    m_agents.Take(Node(1), stopping, At(100));
    const KnownAgent* agent = m_agents.Find(Node(1));
    CPPUNIT_ASSERT(agent->report.standing == EndpointStanding::kStopping);
    CPPUNIT_ASSERT(agent->memory->standing == EndpointStanding::kLeaving);
    CPPUNIT_ASSERT(agent->memory->held == stopping.held);
    m_agents.Take(Node(1), Report(52, 0, EndpointStanding::kAbsent), At(200));
    CPPUNIT_ASSERT(agent->memory->standing == EndpointStanding::kAbsent);
  }

  void AListedAgentIsNotFresh() {
    m_agents.NoteListed({Node(1), testing::orders_service}, At(0));
    CPPUNIT_ASSERT(!m_agents.IsFresh(*m_agents.Find(Node(1)), At(0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_agents.OfService(testing::orders_service).size());
    CPPUNIT_ASSERT(m_agents.Take(Node(1), Report(1), At(1)) == ReportOutcome::kNew);
    CPPUNIT_ASSERT(m_agents.IsFresh(*m_agents.Find(Node(1)), At(2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_agents.ForgetSilent(seconds(1), At(2000)));
  }

  void AnAgentThatReportsLessOftenStaysFreshForLonger() {
    AgentReport report = Report(1);
    m_agents.Take(Node(1), report, At(0));
    CPPUNIT_ASSERT(!m_agents.IsFresh(*m_agents.Find(Node(1)), At(801)));
    report.sequence = 2;
    report.period = milliseconds(600);
    m_agents.Take(Node(1), report, At(0));
    CPPUNIT_ASSERT(m_agents.IsFresh(*m_agents.Find(Node(1)), At(1800)));
    CPPUNIT_ASSERT(!m_agents.IsFresh(*m_agents.Find(Node(1)), At(1801)));
  }

  void ANoticeUpdatesTheLoadOfAKnownAgent() {
    AgentReport first = Report(5);
    first.load.warm_up_left = seconds(2);
    m_agents.Take(Node(1), first, At(0));
    AgentDirectory::NoteOpening(*m_agents.Find(Node(1)), At(100));
    CPPUNIT_ASSERT(m_agents.TakeLoad(Node(1), MakeLoadNotice(Report(6, 3)), At(500)));
    const KnownAgent& agent = *m_agents.Find(Node(1));
    CPPUNIT_ASSERT_EQUAL(3U, agent.report.load.busy);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, agent.report.sequence);
    CPPUNIT_ASSERT(agent.report.load.warm_up_left == milliseconds(1500));
    CPPUNIT_ASSERT(agent.report.standing == EndpointStanding::kAdmitting);
    CPPUNIT_ASSERT(!agent.unanswered_since);
    CPPUNIT_ASSERT(agent.updated_at == At(500));
  }

  void ANoticeThatIsLateOrOfAnotherIncarnationIsIgnored() {
    CPPUNIT_ASSERT(!m_agents.TakeLoad(Node(1), MakeLoadNotice(Report(6, 3)), At(0)));
    m_agents.NoteListed({Node(2), testing::orders_service}, At(0));
    CPPUNIT_ASSERT(!m_agents.TakeLoad(Node(2), MakeLoadNotice(Report(6, 3)), At(0)));
    m_agents.Take(Node(1), Report(6), At(0));
    CPPUNIT_ASSERT(!m_agents.TakeLoad(Node(1), MakeLoadNotice(Report(6, 3)), At(0)));
    AgentReport other = Report(9, 3);
    other.incarnation = base::Incarnation(8);
    CPPUNIT_ASSERT(!m_agents.TakeLoad(Node(1), MakeLoadNotice(other), At(0)));
    CPPUNIT_ASSERT_EQUAL(0U, m_agents.Find(Node(1))->report.load.busy);
  }

  void NoticesRoundTrip() {
    LoadNotice notice = MakeLoadNotice(Report(77, 3));
    notice.busy_average = 2.5;
    notice.open_flows = 40;
    const auto bytes = EncodeLoadNotice(notice);
    CPPUNIT_ASSERT(DecodeForwardHeader(bytes)->kind == MessageKind::kLoad);
    const LoadNotice read = *DecodeLoadNotice(bytes);
    CPPUNIT_ASSERT_EQUAL(3U, read.busy);
    CPPUNIT_ASSERT_EQUAL(2.5, read.busy_average);
    CPPUNIT_ASSERT_EQUAL(40U, read.open_flows);
    CPPUNIT_ASSERT(read.answer_time == notice.answer_time);
    CPPUNIT_ASSERT(read.IsNewerThan(Report(76)));
    CPPUNIT_ASSERT(!read.IsNewerThan(Report(77)));
  }

  void NoticeValuesAreClampedToTheirFields() {
    LoadNotice notice = MakeLoadNotice(Report(1, 1'000'000));
    notice.answer_time = std::chrono::hours(10);
    const auto bytes = EncodeLoadNotice(notice);
    CPPUNIT_ASSERT(DecodeForwardHeader(bytes).has_value());
    CPPUNIT_ASSERT_EQUAL(65'535U, DecodeLoadNotice(bytes)->busy);
  }

  void MalformedNoticesAreRefused() {
    auto bytes = EncodeLoadNotice(MakeLoadNotice(Report(1)));
    CPPUNIT_ASSERT(!DecodeLoadNotice(std::span(bytes).first(bytes.size() - 1)));
    bytes[0] = static_cast<std::uint8_t>(MessageKind::kReturned);
    CPPUNIT_ASSERT(!DecodeLoadNotice(bytes));
  }

  void SlowAndColdEndpointsCountAsLoaded() {
    KnownAgent agent;
    agent.address = Node(1);
    agent.report = Report(1, 2);
    agent.updated_at = At(0);
    const double usual = ExpectedLoad(agent, milliseconds(50), At(0));
    agent.report.load.answer_time = milliseconds(200);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4 * usual, ExpectedLoad(agent, milliseconds(50), At(0)), 1e-9);
    agent.report.load.answer_time = milliseconds(50);
    agent.report.load.warm_up_left = milliseconds(500);
    CPPUNIT_ASSERT(ExpectedLoad(agent, milliseconds(50), At(0)) > usual);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(usual, ExpectedLoad(agent, milliseconds(50), At(600)), 1e-9);
  }

  void OwnOpeningsSinceTheReportCount() {
    m_agents.Take(Node(1), Report(1), At(0));
    m_agents.Take(Node(2), Report(1, 1), At(0));
    EndpointChooser chooser("west", m_random);
    std::vector<KnownAgent*> agents = m_agents.OfService(testing::orders_service);
    CPPUNIT_ASSERT_EQUAL(Node(1), chooser.Choose(agents, At(0))->address);
    m_agents.Find(Node(1))->placed_since_report = 2;
    CPPUNIT_ASSERT_EQUAL(Node(2), chooser.Choose(agents, At(0))->address);
  }

  void TheOwnZoneIsPreferredAmongEquals() {
    AgentReport far = Report(1);
    far.zone = "west";
    m_agents.Take(Node(1), far, At(0));
    m_agents.Take(Node(2), Report(1), At(0));
    EndpointChooser chooser("east", m_random);
    for (int count = 0; count < 50; ++count) {
      const auto agents = m_agents.OfService(testing::orders_service);
      CPPUNIT_ASSERT_EQUAL(Node(2), chooser.Choose(agents, At(0))->address);
    }
    CPPUNIT_ASSERT(chooser.Choose({}, At(0)) == nullptr);
  }

  void SeedsAreAskedWhileNobodyElseAnswers() {
    BalancerList list(Node(1), seconds(2));
    list.SetSeeds({Node(1), Node(2)});
    CPPUNIT_ASSERT(list.Targets(1, At(0)) == std::vector{Node(2)});
    CPPUNIT_ASSERT(list.Note(Node(3), base::Duration(0), At(0)));
    CPPUNIT_ASSERT(!list.Note(Node(3), base::Duration(0), At(10)));
    CPPUNIT_ASSERT(list.Targets(1, At(10)) == std::vector{Node(3)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, list.Targets(1, At(5000)).size());
    CPPUNIT_ASSERT(!list.Note(Node(1), base::Duration(0), At(0)));  // never lists itself
  }

  void SilentBalancersAreForgotten() {
    BalancerList list(Node(1), seconds(2));
    list.Note(Node(3), seconds(1), At(5000));
    CPPUNIT_ASSERT(list.Alive(At(5500)).front().age == base::Duration(milliseconds(1500)));
    list.ForgetSilent(seconds(60), At(64'001));
    CPPUNIT_ASSERT(list.Targets(1, At(64'001)).empty());
  }

  void WeightsGiveShares() {
    Route route;
    route.services = {{testing::orders_service, 90}, {testing::drawings_service, 10}};
    int drawings = 0;
    constexpr int kFlows = 20'000;
    for (int port = 0; port < kFlows; ++port) {
      const auto flow = testing::Flow(static_cast<std::uint16_t>(port));
      drawings += route.Choose(FlowHash(flow)) == testing::drawings_service ? 1 : 0;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, drawings / double{kFlows}, 0.01);
  }

  void AWeightOfZeroGetsNothing() {
    Route route;
    route.services = {{testing::orders_service, 0}, {testing::drawings_service, 3}};
    for (std::uint64_t hash = 0; hash < 10; ++hash) {
      CPPUNIT_ASSERT(route.Choose(hash) == testing::drawings_service);
    }
    route.services = {{testing::orders_service, 0}};
    CPPUNIT_ASSERT(route.Choose(5) == testing::orders_service);
  }

  void HeadersRoundTrip() {
    ForwardHeader header;
    header.kind = MessageKind::kReturned;
    header.is_search = true;
    header.must_accept = true;
    header.attempt = 200;
    header.reason = ReturnReason::kBusy;
    header.service = base::ServiceId(0xa1b2c3d4);
    header.routes_version = 0x22334455667788;
    header.search_round = 0x99;
    CPPUNIT_ASSERT(DecodeForwardHeader(EncodeForwardHeader(header)) == header);
    header.kind = MessageKind::kForward;
    header.reason = ReturnReason::kNone;
    header.busy_limit = ForwardHeader::kMaxBusyLimit;
    CPPUNIT_ASSERT(DecodeForwardHeader(EncodeForwardHeader(header)) == header);
  }

  void SearchRoutesRoundTrip() {
    ForwardHeader header;
    header.has_route = true;
    const SearchRoute route{Node(1), {Node(2), Node(3)}};
    std::vector<std::uint8_t> bytes = EncodeSearch(header, route);
    bytes.push_back(77);  // the packet's payload
    CPPUNIT_ASSERT(DecodeForwardHeader(bytes) == header);
    std::span<std::uint8_t> body = std::span(bytes).subspan(ForwardHeader::kSize);
    CPPUNIT_ASSERT(DecodeSearchRoute(body, kNodePort) == route);
    CPPUNIT_ASSERT(body.size() == 1 && body[0] == 77);
    // Truncated at each length, and with more agents than a route may have.
    for (std::size_t size = 0; size < 13; ++size) {
      std::span<std::uint8_t> cut = std::span(bytes).subspan(ForwardHeader::kSize, size);
      CPPUNIT_ASSERT(!DecodeSearchRoute(cut, kNodePort).has_value());
    }
    std::vector<std::uint8_t> huge(400);
    huge[4] = SearchRoute::kMaxAgents + 1;
    std::span<std::uint8_t> body_of_huge(huge);
    CPPUNIT_ASSERT(!DecodeSearchRoute(body_of_huge, kNodePort).has_value());
  }

  void MalformedHeadersAreRefused() {
    auto bytes = EncodeForwardHeader({});
    CPPUNIT_ASSERT(DecodeForwardHeader(bytes).has_value());
    CPPUNIT_ASSERT(!DecodeForwardHeader(std::span(bytes).first(15)).has_value());
    for (const std::size_t offset : {0, 1, 3}) {
      auto broken = bytes;
      broken[offset] = 0x80;
      CPPUNIT_ASSERT(!DecodeForwardHeader(broken).has_value());
    }
  }

  void ReportsRoundTrip() {
    AgentReport report = Report(9, 3, EndpointStanding::kLeaving);
    report.wants_memory = true;
    report.load.warm_up_left = milliseconds(70);
    report.load.open_flows = 12;
    report.period = milliseconds(575);
    const auto read = DecodeNodeMessage(BytesOf(EncodeNodeMessage(report)), kNodePort);
    const AgentReport& result = std::get<AgentReport>(*read);
    CPPUNIT_ASSERT(result.incarnation == report.incarnation && result.sequence == report.sequence);
    CPPUNIT_ASSERT(result.standing == report.standing && result.wants_memory);
    CPPUNIT_ASSERT(report.endpoint == result.endpoint);
    CPPUNIT_ASSERT_EQUAL(report.zone, result.zone);
    CPPUNIT_ASSERT_EQUAL(report.load.busy, result.load.busy);
    CPPUNIT_ASSERT_EQUAL(report.load.open_flows, result.load.open_flows);
    CPPUNIT_ASSERT(report.load.warm_up_left == result.load.warm_up_left);
    CPPUNIT_ASSERT(report.load.answer_time == result.load.answer_time);
    CPPUNIT_ASSERT(report.period == result.period);
  }

  void GreetingsRoundTrip() {
    BalancerGreeting greeting;
    greeting.incarnation = base::Incarnation(8);
    greeting.routes_version = 6;
    greeting.balancers = {{Node(2), milliseconds(30)}};
    greeting.agents = {{Node(3), testing::drawings_service}};
    greeting.health_check_path = "/h";
    greeting.wants_answer = true;
    greeting.memory = Report(4);
    greeting.memory_age = milliseconds(90);
    const auto read = DecodeNodeMessage(BytesOf(EncodeNodeMessage(greeting)), kNodePort);
    const BalancerGreeting& result = std::get<BalancerGreeting>(*read);
    CPPUNIT_ASSERT_EQUAL(Node(2), result.balancers.at(0).address);
    CPPUNIT_ASSERT(result.balancers.at(0).age == base::Duration(milliseconds(30)));
    CPPUNIT_ASSERT_EQUAL(Node(3), result.agents.at(0).address);
    CPPUNIT_ASSERT(result.agents.at(0).service == testing::drawings_service);
    CPPUNIT_ASSERT_EQUAL(std::string("/h"), result.health_check_path);
    CPPUNIT_ASSERT(result.wants_answer && result.routes_version == 6);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, result.memory->sequence);
    CPPUNIT_ASSERT(result.memory_age == base::Duration(milliseconds(90)));
  }

  void MalformedMessagesAreRefused() {
    const std::string whole = EncodeNodeMessage(Report(9));
    CPPUNIT_ASSERT(!DecodeNodeMessage(BytesOf(whole.substr(0, 10)), kNodePort).has_value());
    CPPUNIT_ASSERT(!DecodeNodeMessage(BytesOf(whole.substr(0, 16)), kNodePort).has_value());
    CPPUNIT_ASSERT(
        !DecodeNodeMessage(BytesOf(whole.substr(0, whole.size() - 1)), kNodePort).has_value());
    AgentReport report = Report(9);
    report.standing = static_cast<EndpointStanding>(99);
    CPPUNIT_ASSERT(!DecodeNodeMessage(BytesOf(EncodeNodeMessage(report)), kNodePort).has_value());
  }

 private:
  AgentDirectory m_agents{100, milliseconds(800)};
  base::RandomSource m_random{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeKnowledgeTest);

}  // namespace
}  // namespace gaugevalve::placement
