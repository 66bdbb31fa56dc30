#include "fabric.h"

#include <cppunit/extensions/HelperMacros.h>
#include <poll.h>

#include <string>
#include <variant>

#include "gaugevalve/tasks/task.h"
#include "gaugevalve/wire/proxy_datagram.h"

namespace gaugevalve::standins {
namespace {

const base::SocketAddress any_port = base::SocketAddress::Ipv4(0x7F000001, 0);

std::vector<std::uint8_t> Bytes(const std::string& text) { return {text.begin(), text.end()}; }

// Carries datagrams over real sockets on loopback, where none is lost while the buffers have room.
class FabricTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FabricTest);
  CPPUNIT_TEST(InboundCarriesSourceAndVirtualAddress);
  CPPUNIT_TEST(OutboundLeavesFromTheVirtualAddress);
  CPPUNIT_TEST(GarbageOnTheEgressIsCountedAndDropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    FabricSettings settings;
    settings.virtual_addresses = {{"stock", any_port}};
    settings.egress = any_port;
    settings.balancers = {balancer_.LocalAddress()};
    fabric_ = std::make_unique<Fabric>(loop_.get(), settings, metrics_);
    virtual_address_ = fabric_->VirtualAddresses().front().address;
  }

  void InboundCarriesSourceAndVirtualAddress() {
    Send(caller_, virtual_address_, Bytes("request"));
    RunOnce();
    const auto datagram = Receive(balancer_);
    const auto decoded = wire::DecodeProxyDatagram(datagram);
    const auto& proxied = std::get<wire::ProxyDatagram>(decoded);
    CPPUNIT_ASSERT_EQUAL(caller_.LocalAddress(), proxied.source);
    CPPUNIT_ASSERT_EQUAL(virtual_address_, proxied.destination);
    CPPUNIT_ASSERT_EQUAL(std::string("request"),
                         std::string(proxied.payload.begin(), proxied.payload.end()));
  }

  void OutboundLeavesFromTheVirtualAddress() {
    std::vector<std::uint8_t> answer(wire::kMaxPlainProxyHeaderSize);
    answer.resize(wire::EncodeProxyHeader(answer, virtual_address_, caller_.LocalAddress()));
    answer.push_back('!');
    Send(agent_, fabric_->Egress(), answer);
    RunOnce();
    base::SocketAddress sender;
    const auto datagram = Receive(caller_, &sender);
    CPPUNIT_ASSERT(datagram == Bytes("!"));
    CPPUNIT_ASSERT_EQUAL(virtual_address_, sender);
  }

  void GarbageOnTheEgressIsCountedAndDropped() {
    Send(agent_, fabric_->Egress(), Bytes("garbage"));
    RunOnce();
    std::vector<std::uint8_t> foreign(wire::kMaxPlainProxyHeaderSize);
    foreign.resize(wire::EncodeProxyHeader(foreign, agent_.LocalAddress(), caller_.LocalAddress()));
    Send(agent_, fabric_->Egress(), foreign);
    RunOnce();
    CPPUNIT_ASSERT_EQUAL(1.0, metrics_.outbound_malformed.Value());
    CPPUNIT_ASSERT_EQUAL(1.0, metrics_.outbound_unknown_source.Value());
    CPPUNIT_ASSERT_EQUAL(0.0, metrics_.outbound_delivered.Value());
  }

 private:
  static void Send(tasks::UdpSocket& socket, const base::SocketAddress& destination,
                   const std::vector<std::uint8_t>& bytes) {
    tasks::UdpSendBatch batch(1);
    batch.Append(destination, 0, bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, batch.Flush(socket.Descriptor()));
  }

  void RunOnce() { event_base_loop(loop_.get(), EVLOOP_ONCE); }

  static std::vector<std::uint8_t> Receive(const tasks::UdpSocket& socket,
                                           base::SocketAddress* sender = nullptr) {
    constexpr int kNoTimeout = -1;
    pollfd readable{socket.Descriptor(), POLLIN, 0};
    poll(&readable, 1, kNoTimeout);
    tasks::UdpReceiveBatch batch(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, batch.Receive(socket.Descriptor()));
    if (sender != nullptr) {
      *sender = batch.Sender(0);
    }
    return {batch.Datagram(0).begin(), batch.Datagram(0).end()};
  }

  tasks::LoopPointer loop_ = tasks::MakeLoop();
  prometheus::Registry registry_;
  FabricMetrics metrics_{registry_};
  tasks::UdpSocket caller_ = tasks::UdpSocket::Bind(any_port);
  tasks::UdpSocket balancer_ = tasks::UdpSocket::Bind(any_port);
  tasks::UdpSocket agent_ = tasks::UdpSocket::Bind(any_port);
  std::unique_ptr<Fabric> fabric_;
  base::SocketAddress virtual_address_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FabricTest);

}  // namespace
}  // namespace gaugevalve::standins
