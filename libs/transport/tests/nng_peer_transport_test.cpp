#include "gaugevalve/transport/nng_peer_transport.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gaugevalve::transport {
namespace {

struct EventBaseDeleter {
  void operator()(event_base* owned) const { event_base_free(owned); }
};

SenderIdentity MakeIdentity(std::uint64_t node) {
  return {base::NodeId(node), base::Incarnation(1), *base::SocketAddress::Parse("127.0.0.1:0"), {}};
}

class NngPeerTransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NngPeerTransportTest);
  CPPUNIT_TEST(AnswerGoesToTheSendersAddress);
  CPPUNIT_TEST(FullQueueDropsAndCounts);
  CPPUNIT_TEST(ControlMessagesAreQueuedThoughTheBulkQueueIsFull);
  CPPUNIT_TEST(BothClassesArrive);
  CPPUNIT_TEST(LeastRecentlyUsedConnectionIsClosed);
  CPPUNIT_TEST(BudgetAndSizeAreEnforced);
  CPPUNIT_TEST(TakenAddressIsAnError);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { base_.reset(event_base_new()); }

  void AnswerGoesToTheSendersAddress() {
    NngPeerTransport client(base_.get(), clock_, MakeIdentity(1));
    NngPeerTransport server(base_.get(), clock_, MakeIdentity(2));
    std::vector<Envelope> answers;
    server.SetReceiver(MessageKind::kControl, [&](const Envelope& envelope) {
      server.Send(envelope.sender.control_address, MessageKind::kControl, "answer");
    });
    client.SetReceiver(MessageKind::kControl,
                       [&](const Envelope& envelope) { answers.push_back(envelope); });
    client.Send(server.Identity().control_address, MessageKind::kControl, "question");
    client.Send(server.Identity().control_address, MessageKind::kMembership, "nobody listens");
    RunUntil([&] {
      return !answers.empty() &&
             server.Counters().Of(MessageKind::kMembership).received_without_receiver == 1;
    });
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), answers.front().payload);
    CPPUNIT_ASSERT(answers.front().sender == server.Identity());
    const KindCounters& sent = client.Counters().Of(MessageKind::kControl);
    const KindCounters& received = server.Counters().Of(MessageKind::kControl);
    CPPUNIT_ASSERT_EQUAL(sent.sent_bytes, received.received_bytes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, received.sent_messages);
  }

  void FullQueueDropsAndCounts() {
    constexpr int kQueue = 4;
    constexpr std::uint64_t kSends = 20;
    NngPeerTransport client(base_.get(), clock_, MakeIdentity(1), {.send_queue_messages = kQueue});
    const base::SocketAddress nobody = UnusedAddress();
    for (std::uint64_t count = 0; count < kSends; ++count) {
      client.Send(nobody, MessageKind::kControl, "lost");
    }
    const KindCounters& counters = client.Counters().Of(MessageKind::kControl);
    CPPUNIT_ASSERT(counters.sent_messages <= kQueue);
    CPPUNIT_ASSERT_EQUAL(kSends, counters.sent_messages + counters.dropped_queue_full);
  }

  // Guards against heartbeats that are dropped because parts of answers fill the queue.
  void ControlMessagesAreQueuedThoughTheBulkQueueIsFull() {
    constexpr int kQueue = 4;
    NngPeerTransport client(base_.get(), clock_, MakeIdentity(1), {.send_queue_messages = kQueue});
    const base::SocketAddress nobody = UnusedAddress();
    const auto send = [&](TrafficClass traffic) {
      return client.Send(nobody, MessageKind::kRequestHandOver, "part", traffic);
    };
    SendResult result = SendResult::kQueued;
    for (int count = 0; count <= kQueue; ++count) {
      result = send(TrafficClass::kBulk);
    }
    CPPUNIT_ASSERT(result == SendResult::kQueueFull);
    CPPUNIT_ASSERT(send(TrafficClass::kControl) == SendResult::kQueued);
  }

  void BothClassesArrive() {
    NngPeerTransport client(base_.get(), clock_, MakeIdentity(1));
    NngPeerTransport server(base_.get(), clock_, MakeIdentity(2));
    std::vector<std::string> received;
    server.SetReceiver(MessageKind::kRequestHandOver,
                       [&](const Envelope& envelope) { received.push_back(envelope.payload); });
    const base::SocketAddress address = server.Identity().control_address;
    client.Send(address, MessageKind::kRequestHandOver, "a", TrafficClass::kBulk);
    client.Send(address, MessageKind::kRequestHandOver, "b", TrafficClass::kControl);
    RunUntil([&] { return received.size() == 2; });
    std::sort(received.begin(), received.end());
    CPPUNIT_ASSERT((received == std::vector<std::string>{"a", "b"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, client.ConnectionCount());
  }

  void LeastRecentlyUsedConnectionIsClosed() {
    NngPeerTransport client(base_.get(), clock_, MakeIdentity(1), {.maximum_connections = 2});
    for (const char* address : {"127.0.0.1:9", "127.0.0.2:9", "127.0.0.3:9", "127.0.0.3:9"}) {
      client.Send(*base::SocketAddress::Parse(address), MessageKind::kControl, "x");
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, client.ConnectionCount());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, client.Counters().connections_opened);
    clock_.Advance(std::chrono::minutes(2));
    RunUntil([&] { return client.ConnectionCount() == 0; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, client.Counters().connections_closed);
  }

  void BudgetAndSizeAreEnforced() {
    NngPeerTransport client(base_.get(), clock_, MakeIdentity(1),
                            {.maximum_message_bytes = 4096,
                             .budget = ByteBudget{.bytes_per_second = 1, .burst_bytes = 2048}});
    const base::SocketAddress nobody = UnusedAddress();
    CPPUNIT_ASSERT(SendResult::kTooLarge ==
                   client.Send(nobody, MessageKind::kControl, std::string(5000, 'x')));
    CPPUNIT_ASSERT(SendResult::kQueued ==
                   client.Send(nobody, MessageKind::kControl, std::string(1500, 'x')));
    CPPUNIT_ASSERT(SendResult::kOverBudget ==
                   client.Send(nobody, MessageKind::kControl, std::string(1500, 'x')));
  }

  void TakenAddressIsAnError() {
    const NngPeerTransport first(base_.get(), clock_, MakeIdentity(1));
    CPPUNIT_ASSERT_THROW(NngPeerTransport(base_.get(), clock_, first.Identity()), TransportError);
  }

 private:
  // Returns an address that was free a moment ago, so nobody listens there.
  base::SocketAddress UnusedAddress() {
    const NngPeerTransport gone(base_.get(), clock_, MakeIdentity(3));
    return gone.Identity().control_address;
  }

  // Runs the loop until the condition holds; a hang is ended by the test runner's limit.
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) {
      event_base_loop(base_.get(), EVLOOP_ONCE);
    }
  }

  std::unique_ptr<event_base, EventBaseDeleter> base_;
  base::ManualClock clock_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NngPeerTransportTest);

}  // namespace
}  // namespace gaugevalve::transport
