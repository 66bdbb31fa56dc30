#include "gaugevalve/routing/table_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/routing/routing.pb.h"

namespace gaugevalve::routing {
namespace {

BucketTable MakeTable() {
  std::vector<AgentEntry> agents;
  for (const char* name : {"east-1", "west-1", "north-1"}) {
    AgentEntry agent;
    agent.node = base::MakeNodeId(name);
    agent.incarnation = base::Incarnation(1'700'000'000'000'000);
    agent.data_address = *base::SocketAddress::Parse("127.3.2.1:4000");
    agent.zone = "east";
    agents.push_back(agent);
  }
  agents[1].data_address = *base::SocketAddress::Parse("[2001:db8::7]:4001");
  BucketTable table = MakeInitialTable(base::ServiceId(77), {4, 2, 9}, agents, 256);
  Bucket& moved = table.buckets[200];
  moved.previous_owners = {moved.owner, base::NodeId(5)};  // one of them no agent of the table
  moved.owner = table.agents[0].node == moved.owner ? table.agents[1].node : table.agents[0].node;
  moved.version = {4, 2, 8};
  return table;
}

class TableCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableCodecTest);
  CPPUNIT_TEST(TableSurvivesTheRoundTripAndIsSmall);
  CPPUNIT_TEST(DeltaSurvivesTheRoundTripAndIsSmall);
  CPPUNIT_TEST(ReportSurvivesTheRoundTrip);
  CPPUNIT_TEST(TruncatedBytesNeverGiveTheSameTable);
  CPPUNIT_TEST(ChainThatNamesAnAgentTwiceIsRefused);
  CPPUNIT_TEST(ReportPastItsBucketsIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TableSurvivesTheRoundTripAndIsSmall() {
    const BucketTable table = MakeTable();
    const std::string bytes = EncodeTable(table);
    CPPUNIT_ASSERT(DecodeTable(bytes) == table);
    CPPUNIT_ASSERT(bytes.size() < 1000);
  }

  void DeltaSurvivesTheRoundTripAndIsSmall() {
    const BucketTable before = MakeTable();
    BucketTable after = before;
    after.version = {4, 2, 10};
    after.buckets[17].previous_owners = {after.buckets[17].owner};
    after.buckets[17].owner = base::NodeId();
    after.buckets[17].version = after.version;
    const TableDelta delta = MakeDelta(before, after);
    const std::string bytes = EncodeDelta(delta);
    CPPUNIT_ASSERT(DecodeDelta(bytes) == delta);
    CPPUNIT_ASSERT(bytes.size() < 200);
  }

  void ReportSurvivesTheRoundTrip() {
    AgentReport report;
    report.service = base::ServiceId(77);
    report.node = base::NodeId(5);
    report.incarnation = base::Incarnation(6);
    report.state = AgentState::kDraining;
    report.table_version = {1, 2, 3};
    report.open_flows = 1234;
    report.busy_slots = 5;
    report.total_slots = 7;
    report.queued_requests = 3;
    report.recent_latency = std::chrono::milliseconds(12);
    report.busy_slot_time = std::chrono::milliseconds(2345);
    report.measured_time = std::chrono::milliseconds(999);
    report.endpoint_uptime = std::chrono::hours(9);
    report.endpoint_failures = 2;
    report.flows_in_buckets.assign(256, 0);
    report.flows_in_buckets[0] = 9;
    report.flows_in_buckets[255] = 70000;
    const AgentReport decoded = DecodeReport(EncodeReport(report));
    CPPUNIT_ASSERT(decoded.service == report.service && decoded.node == report.node);
    CPPUNIT_ASSERT(decoded.incarnation == report.incarnation && decoded.state == report.state);
    CPPUNIT_ASSERT(decoded.table_version == report.table_version);
    CPPUNIT_ASSERT_EQUAL(report.open_flows, decoded.open_flows);
    CPPUNIT_ASSERT_EQUAL(report.busy_slots, decoded.busy_slots);
    CPPUNIT_ASSERT_EQUAL(report.total_slots, decoded.total_slots);
    CPPUNIT_ASSERT_EQUAL(report.queued_requests, decoded.queued_requests);
    CPPUNIT_ASSERT(report.recent_latency == decoded.recent_latency);
    CPPUNIT_ASSERT(decoded.busy_slot_time == report.busy_slot_time);
    CPPUNIT_ASSERT(decoded.measured_time == report.measured_time);
    CPPUNIT_ASSERT(report.endpoint_uptime == decoded.endpoint_uptime);
    CPPUNIT_ASSERT_EQUAL(report.endpoint_failures, decoded.endpoint_failures);
    CPPUNIT_ASSERT(report.flows_in_buckets == decoded.flows_in_buckets);
  }

  void TruncatedBytesNeverGiveTheSameTable() {
    const BucketTable table = MakeTable();
    const std::string bytes = EncodeTable(table);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      try {
        CPPUNIT_ASSERT(DecodeTable(bytes.substr(0, length)) != table);
      } catch (const DecodeError&) {
        continue;  // refused: as good
      }
    }
  }

  void ChainThatNamesAnAgentTwiceIsRefused() {
    BucketTable table = MakeTable();
    table.buckets[3].previous_owners = {base::NodeId(5), base::NodeId(5)};
    CPPUNIT_ASSERT_THROW(DecodeTable(EncodeTable(table)), DecodeError);
    table.buckets[3].previous_owners = {table.buckets[3].owner};
    CPPUNIT_ASSERT_THROW(DecodeTable(EncodeTable(table)), DecodeError);
    table.buckets[3].previous_owners.clear();
    for (std::uint64_t node = 1; node <= kMaxPreviousOwners + 1; ++node) {
      table.buckets[3].previous_owners.emplace_back(node);
    }
    CPPUNIT_ASSERT_THROW(DecodeTable(EncodeTable(table)), DecodeError);
  }

  void ReportPastItsBucketsIsRefused() {
    proto::AgentReport message;
    message.set_bucket_count(4);
    message.add_bucket_gaps(4);
    message.add_flows(1);
    CPPUNIT_ASSERT_THROW(DecodeReport(message.SerializeAsString()), DecodeError);
    message.set_bucket_gaps(0, 3);
    CPPUNIT_ASSERT_EQUAL(1U, DecodeReport(message.SerializeAsString()).flows_in_buckets[3]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableCodecTest);

}  // namespace
}  // namespace gaugevalve::routing
