#include "gaugevalve/daemon/static_view.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::daemon {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;

settings::NodeSettings MakeSettings() {
  settings::NodeSettings node;
  node.name = "agent-1";
  settings::StaticSettings fixed;
  fixed.services = {
      {"stock", settings::ServiceKind::kDatagram, base::SocketAddress::Ipv4(kLoopback, 900), 64},
      {"drawings", settings::ServiceKind::kHttp3, base::SocketAddress::Ipv4(kLoopback, 800), 32}};
  fixed.agents = {{"agent-1", "stock", "east", base::SocketAddress::Ipv4(kLoopback, 1)},
                  {"agent-2", "stock", "west", base::SocketAddress::Ipv4(kLoopback, 2)},
                  {"agent-3", "drawings", "west", base::SocketAddress::Ipv4(kLoopback, 3)}};
  node.static_settings = fixed;
  return node;
}

class StaticViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StaticViewTest);
  CPPUNIT_TEST(EachServiceHasItsOwnAgents);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EachServiceHasItsOwnAgents() {
    const auto view = MakeStaticView(MakeSettings(), base::Incarnation(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view->services.size());
    const control::ServiceView& drawings = view->services[0];
    CPPUNIT_ASSERT_EQUAL(std::string("drawings"), drawings.name);
    CPPUNIT_ASSERT(drawings.kind == control::ServiceKind::kHttp3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, drawings.table->agents.size());
    const routing::BucketTable& stock = *view->services[1].table;
    CPPUNIT_ASSERT_EQUAL(std::size_t{64}, stock.buckets.size());
    const routing::AgentEntry* const self = stock.FindAgent(base::MakeNodeId("agent-1"));
    CPPUNIT_ASSERT(self != nullptr && self->incarnation == base::Incarnation(5));
    const routing::AgentEntry* const other = stock.FindAgent(base::MakeNodeId("agent-2"));
    CPPUNIT_ASSERT(other != nullptr && other->incarnation == base::Incarnation());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StaticViewTest);

}  // namespace
}  // namespace gaugevalve::daemon
