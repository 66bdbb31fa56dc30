#include "gaugevalve/tasks/udp_batch.h"

#include <cppunit/extensions/HelperMacros.h>
#include <poll.h>

#include <algorithm>
#include <string>

#include "gaugevalve/tasks/udp_socket.h"

namespace gaugevalve::tasks {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr int kPatienceMilliseconds = 10'000;  // a bound on a hang, not on speed

void WaitReadable(int descriptor) {
  pollfd waiting{descriptor, POLLIN, 0};
  CPPUNIT_ASSERT_EQUAL(1, poll(&waiting, 1, kPatienceMilliseconds));
}

std::string Text(std::span<const std::uint8_t> bytes) { return {bytes.begin(), bytes.end()}; }

class UdpBatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UdpBatchTest);
  CPPUNIT_TEST(HeaderAndPayloadArriveAsOneDatagram);
  CPPUNIT_TEST(OverlongDatagramIsMarked);
  CPPUNIT_TEST(DatagramThatCannotBeSentDoesNotStopTheOthers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HeaderAndPayloadArriveAsOneDatagram() {
    UdpSendBatch batch(4);
    for (const char mark : {'a', 'b', 'c'}) {
      batch.NextHeader()[0] = static_cast<std::uint8_t>(mark);
      batch.Append(receiver_.LocalAddress(), 1, payload_);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, batch.Flush(sender_.Descriptor()));
    UdpReceiveBatch received(8);
    WaitReadable(receiver_.Descriptor());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, received.Receive(receiver_.Descriptor()));
    CPPUNIT_ASSERT_EQUAL(std::string("bxyz"), Text(received.Datagram(1)));
    CPPUNIT_ASSERT_EQUAL(sender_.LocalAddress(), received.Sender(1));
    CPPUNIT_ASSERT(!received.IsTruncated(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received.Receive(receiver_.Descriptor()));
  }

  void OverlongDatagramIsMarked() {
    const std::vector<std::uint8_t> overlong(kMaxDatagramSize + 1, 'x');
    UdpSocket connected = UdpSocket::Connect(receiver_.LocalAddress());
    CPPUNIT_ASSERT(connected.Send(overlong));
    UdpReceiveBatch received(2);
    WaitReadable(receiver_.Descriptor());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.Receive(receiver_.Descriptor()));
    CPPUNIT_ASSERT(received.IsTruncated(0));
  }

  void DatagramThatCannotBeSentDoesNotStopTheOthers() {
    UdpSendBatch batch(2);
    batch.Append(base::SocketAddress::Ipv4(kLoopback, 0), 0, payload_);  // port 0: refused
    batch.Append(receiver_.LocalAddress(), 0, payload_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, batch.Flush(sender_.Descriptor()));
  }

 private:
  UdpSocket receiver_ = UdpSocket::Bind(base::SocketAddress::Ipv4(kLoopback, 0));
  UdpSocket sender_ = UdpSocket::Bind(base::SocketAddress::Ipv4(kLoopback, 0));
  std::vector<std::uint8_t> payload_{'x', 'y', 'z'};
};

CPPUNIT_TEST_SUITE_REGISTRATION(UdpBatchTest);

}  // namespace
}  // namespace gaugevalve::tasks
