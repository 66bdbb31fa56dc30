#include "gaugevalve/flow/flow_core.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::flow {
namespace {

using std::chrono::seconds;

constexpr base::ServiceId kService(5);
constexpr std::size_t kBuckets = 8;
constexpr std::size_t kCapacity = 2;

base::NodeId Node(int number) { return base::NodeId(static_cast<std::uint64_t>(number)); }

wire::FlowKey Key(std::uint16_t port) {
  return {base::SocketAddress::Ipv4(0xc0000201, port), base::SocketAddress::Ipv4(0xc6336407, 53)};
}

routing::BucketTable MakeTable(std::uint32_t sequence, int owner, std::vector<base::NodeId> chain) {
  routing::BucketTable table;
  table.service = kService;
  table.version = {1, 0, sequence};
  for (int number = 1; number <= 2; ++number) {
    table.agents.push_back({Node(number), base::Incarnation(1), {}, ""});
  }
  table.buckets.assign(kBuckets, {table.version, Node(owner), std::move(chain)});
  return table;
}

class FlowCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowCoreTest);
  CPPUNIT_TEST(SecondDatagramFindsTheFlow);
  CPPUNIT_TEST(FullTableRefusesNewFlows);
  CPPUNIT_TEST(SourceOverItsLimitIsRefused);
  CPPUNIT_TEST(OwnFlowIsConfirmedAfterTheWalk);
  CPPUNIT_TEST(ReportCountsFlowsAndNamesTheTable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SecondDatagramFindsTheFlow() {
    FlowCore core = MakeCore({});
    core.UpdateTable(MakeTable(1, 1, {}), {});
    const auto first = std::get<Relay>(Decide(core, Key(1)));
    CPPUNIT_ASSERT(first.is_new);
    const auto second = std::get<Relay>(Decide(core, Key(1)));
    CPPUNIT_ASSERT(!second.is_new && second.flow == first.flow);
    CPPUNIT_ASSERT(core.Tick(base::TimePoint(seconds(400))) == std::vector{first.flow});
  }

  void FullTableRefusesNewFlows() {
    FlowCore core = MakeCore({});
    core.UpdateTable(MakeTable(1, 1, {}), {});
    Decide(core, Key(1));
    Decide(core, Key(2));
    CPPUNIT_ASSERT(std::get<DropReason>(Decide(core, Key(3))) == DropReason::kFlowTableFull);
    CPPUNIT_ASSERT(std::holds_alternative<Relay>(Decide(core, Key(1))));
  }

  void SourceOverItsLimitIsRefused() {
    FlowCore core = MakeCore({.rate = 1, .burst = 0});
    core.UpdateTable(MakeTable(1, 1, {}), {});
    Decide(core, Key(1));
    CPPUNIT_ASSERT(std::get<DropReason>(Decide(core, Key(2))) == DropReason::kSourceLimit);
    CPPUNIT_ASSERT(std::holds_alternative<Relay>(Decide(core, Key(1))));
  }

  void OwnFlowIsConfirmedAfterTheWalk() {
    FlowCore core = MakeCore({});
    core.UpdateTable(MakeTable(1, 1, {}), {});
    const auto opened = std::get<Relay>(Decide(core, Key(1)));
    core.UpdateTable(MakeTable(2, 1, {Node(2)}), {});
    wire::ForwardingHeader header = Header(core, Key(1));
    CPPUNIT_ASSERT(std::holds_alternative<PassOn>(core.Decide(Key(1), header, {})));
    header.walk = wire::ChainWalk::kFinished;
    header.target = Node(1);
    CPPUNIT_ASSERT(header.claim.holder == Node(1));
    CPPUNIT_ASSERT(std::get<Relay>(core.Decide(Key(1), header, {})).flow == opened.flow);
    CPPUNIT_ASSERT(std::get<Relay>(Decide(core, Key(1))).flow == opened.flow);
  }

  void ReportCountsFlowsAndNamesTheTable() {
    FlowCore core = MakeCore({});
    core.UpdateTable(MakeTable(3, 1, {}), {});
    Decide(core, Key(1));
    core.StartDraining({});
    routing::AgentReport report;
    core.FillReport(report);
    CPPUNIT_ASSERT(report.node == Node(1) && report.service == kService);
    CPPUNIT_ASSERT(report.state == routing::AgentState::kDraining);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, report.table_version.sequence);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, report.open_flows);
    CPPUNIT_ASSERT_EQUAL(kBuckets, report.flows_in_buckets.size());
    CPPUNIT_ASSERT_EQUAL(1U, report.flows_in_buckets[Key(1).Hash() % kBuckets]);
  }

 private:
  static FlowCore MakeCore(const SourceLimiterSettings& limit) {
    FlowCoreSettings settings;
    settings.table.capacity = kCapacity;
    settings.source_limit = limit;
    return {{Node(1), base::Incarnation(1), kService}, settings};
  }

  // The header of a balancer that knows only the flow's bucket and this agent.
  static wire::ForwardingHeader Header(const FlowCore& core, const wire::FlowKey& key) {
    wire::ForwardingHeader header;
    header.service = kService;
    header.target = core.Ownership().Identity().node;
    header.bucket = base::BucketIndex(static_cast<std::uint16_t>(key.Hash() % kBuckets));
    return header;
  }

  static FlowAction Decide(FlowCore& core, const wire::FlowKey& key) {
    wire::ForwardingHeader header = Header(core, key);
    return core.Decide(key, header, {});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowCoreTest);

}  // namespace
}  // namespace gaugevalve::flow
