#include "gaugevalve/flow/flow_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::flow {
namespace {

using std::chrono::seconds;

wire::FlowKey Key(std::uint16_t port) {
  return {base::SocketAddress::Ipv4(0xc0000201, port), base::SocketAddress::Ipv4(0xc6336407, 53)};
}

base::TimePoint At(int second) { return base::TimePoint(seconds(second)); }

class FlowTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowTableTest);
  CPPUNIT_TEST(FullTableRefusesNewFlowsAndKeepsOpenOnes);
  CPPUNIT_TEST(OnlyIdleFlowsAreClosed);
  CPPUNIT_TEST(FlowsAreCountedByBucket);
  CPPUNIT_TEST(LimitsCanChangeWhileFlowsAreOpen);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FullTableRefusesNewFlowsAndKeepsOpenOnes() {
    const FlowId first = Open(1, 0);
    Open(2, 0);
    Open(3, 0);
    CPPUNIT_ASSERT(!table_.Open(Key(4), base::BucketIndex(0), {}, At(0)));
    CPPUNIT_ASSERT(table_.Find(Key(1)) == first);
    table_.Close(first);
    CPPUNIT_ASSERT(!table_.Find(Key(1)));
    CPPUNIT_ASSERT(table_.Open(Key(4), base::BucketIndex(0), {}, At(0)) == first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, table_.Size());
  }

  void OnlyIdleFlowsAreClosed() {
    const FlowId used = Open(1, 0);
    const FlowId idle = Open(2, 1);
    const FlowId young = Open(3, 5);
    table_.Touch(used, At(9));
    CPPUNIT_ASSERT(table_.CloseIdle(At(10)).empty());
    CPPUNIT_ASSERT(table_.CloseIdle(At(11)) == std::vector<FlowId>{idle});
    CPPUNIT_ASSERT(table_.CloseIdle(At(30)) == (std::vector<FlowId>{young, used}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table_.Size());
  }

  void FlowsAreCountedByBucket() {
    table_.Open(Key(1), base::BucketIndex(2), {}, At(0));
    table_.Open(Key(2), base::BucketIndex(2), {}, At(0));
    table_.Open(Key(3), base::BucketIndex(0), {}, At(0));
    CPPUNIT_ASSERT(table_.CountByBucket(3) == (std::vector<std::uint32_t>{1, 0, 2}));
  }

  void LimitsCanChangeWhileFlowsAreOpen() {
    const FlowId first = Open(1, 0);
    Open(2, 0);
    table_.SetLimits({.capacity = 1, .idle_timeout = seconds(10)});
    CPPUNIT_ASSERT(!table_.Open(Key(3), base::BucketIndex(0), {}, At(0)));
    CPPUNIT_ASSERT(table_.Find(Key(1)) == first);
    table_.SetLimits({.capacity = 5, .idle_timeout = seconds(10)});
    Open(3, 0);
    Open(4, 0);
    Open(5, 0);
    CPPUNIT_ASSERT(!table_.Open(Key(6), base::BucketIndex(0), {}, At(0)));
  }

 private:
  FlowId Open(std::uint16_t port, int second) {
    return table_.Open(Key(port), base::BucketIndex(0), {}, At(second)).value();
  }

  FlowTable table_{{.capacity = 3, .idle_timeout = seconds(10)}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowTableTest);

}  // namespace
}  // namespace gaugevalve::flow
