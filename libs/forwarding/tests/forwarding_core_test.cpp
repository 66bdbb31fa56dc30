#include "gaugevalve/forwarding/forwarding_core.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "gaugevalve/connection_id/codec.h"
#include "gaugevalve/wire/flow_key.h"

namespace gaugevalve::forwarding {
namespace {

constexpr std::size_t kBuckets = 64;
constexpr std::uint8_t kRoutableMark = 0x7b;  // first byte of the IDs that the test router knows

base::SocketAddress Client(std::uint16_t port) {
  return base::SocketAddress::Ipv4(0xc0000201, port);
}

base::SocketAddress Virtual(std::uint32_t number) {
  return base::SocketAddress::Ipv4(0xc6330000 + number, 443);
}

routing::AgentEntry MakeAgent(const std::string& name, std::uint16_t port) {
  return {base::MakeNodeId(name), base::Incarnation(7), base::SocketAddress::Ipv4(0x7f000001, port),
          "east"};
}

control::ServiceView MakeService(std::uint32_t number, control::ServiceKind kind,
                                 std::vector<routing::AgentEntry> agents) {
  const base::ServiceId id(number);
  const routing::TableVersion version{1, 0, number};
  const auto table = routing::MakeInitialTable(id, version, std::move(agents), kBuckets);
  return {id, "service-" + std::to_string(number), kind, Virtual(number),
          std::make_shared<const routing::BucketTable>(table)};
}

// A short header with an ID that starts with `mark`.
std::vector<std::uint8_t> ShortPacket(std::uint8_t mark) {
  std::vector<std::uint8_t> packet(1 + connection_id::kRoutableIdLength, mark);
  packet[0] = 0x40;
  return packet;
}

// A long header of an Initial packet of version 1 with an 8-byte ID of `mark`s.
std::vector<std::uint8_t> InitialPacket(std::uint8_t mark) {
  std::vector<std::uint8_t> packet{0xc0, 0, 0, 0, 1, 8};
  packet.insert(packet.end(), 8, mark);
  packet.push_back(0);
  packet.insert(packet.end(), 40, 0);
  return packet;
}

class MarkRouter final : public ConnectionIdRouter {
 public:
  std::optional<base::NodeId> Route(const connection_id::ConnectionId& id) const override {
    const bool is_routable = !id.bytes().empty() && id.bytes()[0] == kRoutableMark;
    return is_routable ? std::optional(base::MakeNodeId("quic-b")) : std::nullopt;
  }
};

class ForwardingCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardingCoreTest);
  CPPUNIT_TEST(FlowGoesToTheOwnerOfItsBucket);
  CPPUNIT_TEST(EachDropHasItsReason);
  CPPUNIT_TEST(EveryServiceOfALargeViewIsFound);
  CPPUNIT_TEST(RoutableIdGoesToItsAgent);
  CPPUNIT_TEST(NewConnectionsOfASourceAreLimited);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    auto view = std::make_shared<control::NodeView>();
    view->services = {MakeService(1, control::ServiceKind::kDatagram,
                                  {MakeAgent("a", 1), MakeAgent("b", 2), MakeAgent("c", 3)}),
                      MakeService(2, control::ServiceKind::kHttp3,
                                  {MakeAgent("quic-a", 4), MakeAgent("quic-b", 5)}),
                      MakeService(3, control::ServiceKind::kDatagram, {}),
                      MakeService(4, control::ServiceKind::kDatagram, {MakeAgent("a", 1)})};
    view->services[3].table = nullptr;
    core_.SetView(view);
  }

  void FlowGoesToTheOwnerOfItsBucket() {
    std::array<int, 4> hits{};
    for (std::uint16_t port = 1; port <= 600; ++port) {
      const base::SocketAddress next_hop = Hop(Virtual(1), port);
      const wire::FlowKey key{Client(port), Virtual(1)};
      CPPUNIT_ASSERT_EQUAL(key.Hash() % kBuckets, std::uint64_t{header_.bucket.value()});
      CPPUNIT_ASSERT_EQUAL(header_.entry.owner.data_address, next_hop);
      CPPUNIT_ASSERT(header_.target == header_.entry.owner.node);
      CPPUNIT_ASSERT_EQUAL(base::Incarnation(7), header_.target_incarnation);
      CPPUNIT_ASSERT_EQUAL(base::ServiceId(1), header_.service);
      ++hits.at(next_hop.port);
    }
    CPPUNIT_ASSERT(
        std::all_of(hits.begin() + 1, hits.end(), [](int count) { return count > 100; }));
  }

  void EachDropHasItsReason() {
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_virtual_address"), Reason(Virtual(9), {}));
    CPPUNIT_ASSERT_EQUAL(std::string("no_owner"), Reason(Virtual(3), {}));
    CPPUNIT_ASSERT_EQUAL(std::string("no_table"), Reason(Virtual(4), {}));
    CPPUNIT_ASSERT_EQUAL(std::string("not_quic"), Reason(Virtual(2), {0x40, 1, 2}));
    ForwardingCore fresh({}, nullptr);
    CPPUNIT_ASSERT(std::get<DropReason>(fresh.Decide({}, {}, header_)) == DropReason::kNoView);
  }

  void EveryServiceOfALargeViewIsFound() {
    constexpr std::uint32_t kServices = 1100;
    auto view = std::make_shared<control::NodeView>();
    for (std::uint32_t number = 0; number < kServices; ++number) {
      view->services.push_back(
          MakeService(number, control::ServiceKind::kDatagram, {MakeAgent("a", 1)}));
    }
    core_.SetView(view);
    for (std::uint32_t number = 0; number < kServices; ++number) {
      Hop(Virtual(number), 1);
      CPPUNIT_ASSERT_EQUAL(base::ServiceId(number), header_.service);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_virtual_address"), Reason(Virtual(kServices), {}));
  }

  void RoutableIdGoesToItsAgent() {
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{5}, Hop(Virtual(2), 1, ShortPacket(kRoutableMark)).port);
    CPPUNIT_ASSERT(header_.target == base::MakeNodeId("quic-b"));
    // Chosen by the client: by bucket, whatever the source.
    const std::uint16_t first = Hop(Virtual(2), 1, InitialPacket(3)).port;
    CPPUNIT_ASSERT_EQUAL(first, Hop(Virtual(2), 99, InitialPacket(3)).port);
    CPPUNIT_ASSERT(header_.entry.owner.data_address.port == first);
  }

  void NewConnectionsOfASourceAreLimited() {
    for (std::uint8_t number = 0; number <= kBurst; ++number) {
      Hop(Virtual(2), number, InitialPacket(number));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("source_limit"), Reason(Virtual(2), InitialPacket(99)));
    Hop(Virtual(2), 1, ShortPacket(kRoutableMark));  // an open connection isn't limited
    now_ += std::chrono::seconds(1);
    Hop(Virtual(2), 1, InitialPacket(99));
  }

 private:
  static constexpr std::uint32_t kBurst = 5;

  Decision Decide(const base::SocketAddress& destination, std::uint16_t port,
                  const std::vector<std::uint8_t>& payload) {
    return core_.Decide({Client(port), destination, {}, payload}, now_, header_);
  }

  base::SocketAddress Hop(const base::SocketAddress& destination, std::uint16_t port,
                          const std::vector<std::uint8_t>& payload = {}) {
    return std::get<Forward>(Decide(destination, port, payload)).next_hop;
  }

  std::string Reason(const base::SocketAddress& destination,
                     const std::vector<std::uint8_t>& payload) {
    return std::string(ToString(std::get<DropReason>(Decide(destination, 1, payload))));
  }

  MarkRouter router_;
  ForwardingCore core_{{.rate = 1, .burst = kBurst}, &router_};
  wire::ForwardingHeader header_;
  base::TimePoint now_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingCoreTest);

}  // namespace
}  // namespace gaugevalve::forwarding
