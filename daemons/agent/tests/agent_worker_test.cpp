#include "agent_worker.h"

#include <cppunit/extensions/HelperMacros.h>
#include <poll.h>

#include <array>
#include <string>

#include "datagram_service.h"
#include "gaugevalve/wire/flow_key.h"

namespace gaugevalve::agent {
namespace {

constexpr int kReceiveTimeoutMilliseconds = 10'000;  // ends a hanging test; not a bound on speed
constexpr base::ServiceId kService(3);
constexpr std::size_t kBuckets = 16;

base::SocketAddress Loopback() { return base::SocketAddress::Ipv4(0x7f000001, 0); }

// Returns the next datagram at a socket; fails the test if none arrives.
class Arrival {
 public:
  explicit Arrival(const tasks::UdpSocket& socket) {
    pollfd waiting{socket.Descriptor(), POLLIN, 0};
    CPPUNIT_ASSERT_EQUAL(1, poll(&waiting, 1, kReceiveTimeoutMilliseconds));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, batch_.Receive(socket.Descriptor()));
  }

  std::string Text() const { return ToText(batch_.Datagram(0)); }
  base::SocketAddress Sender() const { return batch_.Sender(0); }
  wire::ProxyDatagram Decode() const {
    return std::get<wire::ProxyDatagram>(wire::DecodeProxyDatagram(batch_.Datagram(0)));
  }

  static std::string ToText(std::span<const std::uint8_t> bytes) {
    return {bytes.begin(), bytes.end()};
  }

 private:
  tasks::UdpReceiveBatch batch_{1};
};

// An agent between a fabric and an endpoint, all on loopback.
class AgentWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentWorkerTest);
  CPPUNIT_TEST(DatagramReachesTheEndpointAndTheAnswerTheEgress);
  CPPUNIT_TEST(DatagramOfAnotherOwnerIsPassedOn);
  CPPUNIT_TEST(MessagesOfOtherAgentsLeaveRoomForARequestToDrain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    worker_ = MakeWorker();
    worker_->Start();
  }

  void tearDown() override { worker_->Stop(); }

  void DatagramReachesTheEndpointAndTheAnswerTheEgress() {
    SendView(identity_.node);
    SendDatagram("question");
    const Arrival question(endpoint_);
    CPPUNIT_ASSERT_EQUAL(std::string("question"), question.Text());
    tasks::UdpSendBatch answer(1);
    const std::string text = "answer";
    answer.Append(question.Sender(), 0, {reinterpret_cast<const std::uint8_t*>(text.data()), 6});
    answer.Flush(endpoint_.Descriptor());
    const Arrival arrival(fabric_);
    const wire::ProxyDatagram decoded = arrival.Decode();
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), Arrival::ToText(decoded.payload));
    CPPUNIT_ASSERT_EQUAL(key_.destination, decoded.source);
    CPPUNIT_ASSERT_EQUAL(key_.source, decoded.destination);
  }

  void DatagramOfAnotherOwnerIsPassedOn() {
    SendView(base::NodeId(2));
    SendDatagram("elsewhere");
    const Arrival arrival(other_agent_);
    const wire::ProxyDatagram decoded = arrival.Decode();
    CPPUNIT_ASSERT_EQUAL(std::string("elsewhere"), Arrival::ToText(decoded.payload));
    CPPUNIT_ASSERT_EQUAL(key_.source, decoded.source);
    const auto header =
        std::get<wire::ForwardingHeader>(wire::DecodeForwardingHeader(decoded.fields));
    CPPUNIT_ASSERT_EQUAL(base::NodeId(2), header.target);
    CPPUNIT_ASSERT_EQUAL(std::uint8_t{1}, header.hop_count);
  }

  // Guards against an agent that never drains, and misses views and certificates, because other
  // agents' messages fill its inbox.
  void MessagesOfOtherAgentsLeaveRoomForARequestToDrain() {
    const std::unique_ptr<AgentWorker> busy = MakeWorker();  // handles nothing before its start
    int accepted = 0;
    while (busy->Send(PeerMessage{base::NodeId(2), "message"})) {
      ++accepted;
    }
    CPPUNIT_ASSERT(accepted > 0);
    CPPUNIT_ASSERT(busy->Send(StartDraining()));
    CPPUNIT_ASSERT(busy->Send(ViewPointer(std::make_shared<const control::NodeView>())));
    busy->Start();
    busy->Stop();
  }

 private:
  std::unique_ptr<AgentWorker> MakeWorker() {
    return std::make_unique<AgentWorker>(
        AgentWorkerSettings{Loopback(), fabric_.LocalAddress(), kService, "endpoint-1"},
        [this](event_base* loop, AgentOutput& output) {
          return std::make_unique<DatagramService>(loop, output, endpoint_.LocalAddress(),
                                                   identity_, flow::FlowCoreSettings(), registry_);
        },
        [this](AgentStatus status) { statuses_.TrySend(std::move(status)); }, registry_);
  }

  // Sends the worker a table in which `owner` owns all buckets.
  void SendView(base::NodeId owner) {
    auto table = std::make_shared<routing::BucketTable>();
    table->service = kService;
    table->version = {1, 0, 1};
    table->agents = {{identity_.node, identity_.incarnation, worker_->DataAddress(), ""},
                     {base::NodeId(2), base::Incarnation(1), other_agent_.LocalAddress(), ""}};
    table->buckets.assign(kBuckets, {table->version, owner, {}});
    auto view = std::make_shared<control::NodeView>();
    view->confirmed_at = base::TimePoint::max();
    view->services.push_back(
        {kService, "stock", control::ServiceKind::kDatagram, key_.destination, table});
    CPPUNIT_ASSERT(worker_->Send(ViewPointer(view)));
    WaitForTable(table->version);
  }

  // Waits until the worker reports that it has this table.
  void WaitForTable(const routing::TableVersion& version) {
    pollfd waiting{statuses_.Wake().Descriptor(), POLLIN, 0};
    while (poll(&waiting, 1, kReceiveTimeoutMilliseconds) == 1) {
      statuses_.Wake().Acknowledge();
      while (const auto status = statuses_.TryReceive()) {
        if (status->report.table_version == version) {
          return;
        }
      }
    }
    CPPUNIT_FAIL("the worker took no table");
  }

  // Sends a datagram like a balancer that knows only the agent's address.
  void SendDatagram(const std::string& text) {
    wire::ForwardingHeader header;
    header.service = kService;
    header.target = identity_.node;
    header.bucket = base::BucketIndex(static_cast<std::uint16_t>(key_.Hash() % kBuckets));
    tasks::UdpSendBatch batch(1);
    const std::size_t size =
        wire::EncodeForwardedHeader(batch.NextHeader(), key_.source, key_.destination, header);
    batch.Append(worker_->DataAddress(), size,
                 {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
    batch.Flush(fabric_.Descriptor());
  }

  flow::AgentIdentity identity_{base::NodeId(1), base::Incarnation(1), kService};
  wire::FlowKey key_{base::SocketAddress::Ipv4(0xc0000201, 4000),
                     base::SocketAddress::Ipv4(0xc6336407, 53)};
  tasks::UdpSocket fabric_ = tasks::UdpSocket::Bind(Loopback());
  tasks::UdpSocket endpoint_ = tasks::UdpSocket::Bind(Loopback());
  tasks::UdpSocket other_agent_ = tasks::UdpSocket::Bind(Loopback());
  prometheus::Registry registry_;
  tasks::Mailbox<AgentStatus> statuses_{64};
  std::unique_ptr<AgentWorker> worker_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentWorkerTest);

}  // namespace
}  // namespace gaugevalve::agent
