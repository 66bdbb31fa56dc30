#include "gaugevalve/tasks/datagram_port.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "gaugevalve/tasks/task.h"

namespace gaugevalve::tasks {
namespace {

class DatagramPortTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatagramPortTest);
  CPPUNIT_TEST(DatagramsArriveWithHeaderAndPayload);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DatagramsArriveWithHeaderAndPayload() {
    const LoopPointer loop = MakeLoop();
    std::vector<std::string> received;
    std::vector<base::SocketAddress> senders;
    int batches = 0;
    const base::SocketAddress address = FreeAddress();
    DatagramPort port(
        loop.get(), address,
        [&](std::span<std::uint8_t> datagram, const base::SocketAddress& sender) {
          received.emplace_back(datagram.begin(), datagram.end());
          datagram[0] = '#';          // it may be changed in place
          senders.push_back(sender);  // an assertion can't cross libevent
        },
        [&] { ++batches; });
    const std::string header = "head";
    const std::string payload = "payload";
    for (int count = 0; count < 40; ++count) {  // more than one batch
      port.Queue(address, Bytes(header), Bytes(payload));
    }
    port.Flush();
    port.Send(address, Bytes(payload));
    while (received.size() < 41) {
      event_base_loop(loop.get(), EVLOOP_ONCE);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("headpayload"), received[39]);
    CPPUNIT_ASSERT_EQUAL(payload, received[40]);
    CPPUNIT_ASSERT_EQUAL(address, senders[0]);
    CPPUNIT_ASSERT(batches > 1);
  }

 private:
  static std::span<const std::uint8_t> Bytes(const std::string& text) {
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
  }

  // Returns an address that nothing was bound to a moment ago.
  static base::SocketAddress FreeAddress() {
    return UdpSocket::Bind(*base::SocketAddress::Parse("127.0.0.1:0")).LocalAddress();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatagramPortTest);

}  // namespace
}  // namespace gaugevalve::tasks
