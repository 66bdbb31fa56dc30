// The client's libevent shell against a server on a real socket.
#include "gaugevalve/quic/udp_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "gaugevalve/quic/http3_server.h"
#include "test_application.h"

namespace gaugevalve::quic::testing {
namespace {

// A server on a loopback socket, driven by the same loop as the client.
class LoopbackServer final : public DatagramSink {
 public:
  explicit LoopbackServer(event_base* base) : descriptor_(socket(AF_INET, SOCK_DGRAM, 0)) {
    sockaddr_storage native{};
    const socklen_t length = base::SocketAddress::Ipv4(INADDR_LOOPBACK, 0).ToNative(native);
    CPPUNIT_ASSERT(bind(descriptor_, reinterpret_cast<sockaddr*>(&native), length) == 0);
    socklen_t size = sizeof native;
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&native), &size);
    address_ = *base::SocketAddress::FromNative(native);
    evutil_make_socket_nonblocking(descriptor_);
    connection_id::KeySet keys;
    keys.Add(0, connection_id::Key{9});
    base::Findings findings;
    const auto pair = MakeSelfSignedCertificate("127.0.0.1", std::chrono::system_clock::now(),
                                                std::chrono::hours(1));
    server_ = std::make_unique<Http3Server>(
        Http3ServerOptions{},
        connection_id::Issuer(std::make_shared<const connection_id::Codec>(keys),
                              base::ServiceId(1), base::NodeId(1), base::Incarnation(1), 0),
        MakeServerCredentials(pair, "test", std::chrono::system_clock::now(), findings), *this,
        application_);
    readable_ = event_new(
        base, descriptor_, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) {  // NOLINT(google-runtime-int)
          static_cast<LoopbackServer*>(self)->Receive();
        },
        this);
    event_add(readable_, nullptr);
  }
  ~LoopbackServer() override {
    event_free(readable_);
    close(descriptor_);
  }
  LoopbackServer(const LoopbackServer&) = delete;
  LoopbackServer& operator=(const LoopbackServer&) = delete;

  void SendDatagram(const Path& path, std::span<const std::uint8_t> payload) override {
    sockaddr_storage native{};
    const socklen_t length = path.remote.ToNative(native);
    sendto(descriptor_, payload.data(), payload.size(), 0, reinterpret_cast<sockaddr*>(&native),
           length);
  }
  void RequestFlush() override {}

  const base::SocketAddress& Address() const { return address_; }
  TestApplication& Application() { return application_; }
  void HandleExpiry() { server_->HandleExpiry(clock_.Now()); }

 private:
  void Receive() {
    std::array<std::uint8_t, 2048> buffer;
    sockaddr_storage native{};
    socklen_t length = sizeof native;
    ssize_t received = 0;
    while ((received = recvfrom(descriptor_, buffer.data(), buffer.size(), 0,
                                reinterpret_cast<sockaddr*>(&native), &length)) > 0) {
      server_->HandleDatagram({address_, *base::SocketAddress::FromNative(native)},
                              std::span(buffer).first(static_cast<std::size_t>(received)),
                              clock_.Now());
    }
  }

  int descriptor_;
  base::SocketAddress address_;
  base::SystemClock clock_;
  TestApplication application_;
  std::unique_ptr<Http3Server> server_;
  event* readable_ = nullptr;
};

class UdpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UdpClientTest);
  CPPUNIT_TEST(RequestsGoOnFromAnotherPort);
  CPPUNIT_TEST_SUITE_END();

  static std::shared_ptr<Answer> Ask(UdpClient& client, const std::string& path) {
    auto answer = std::make_shared<Answer>();
    CPPUNIT_ASSERT(client.Client().SubmitRequest({"POST", "https", "127.0.0.1", path, {}},
                                                 BytesOf("hello"), Record(answer)));
    return answer;
  }

 public:
  void RequestsGoOnFromAnotherPort() {
    const std::unique_ptr<event_base, void (*)(event_base*)> base(event_base_new(),
                                                                  event_base_free);
    const base::SystemClock clock;
    LoopbackServer server(base.get());
    RecordedEvents events;
    UdpClient client(base.get(), clock,
                     {{{}, server.Address()}, "127.0.0.1", MakeClientCredentials("")}, events);
    // The server's timers are polled; a run that hangs is ended by the test's own time limit.
    const auto run_until = [&](const std::function<bool()>& is_done) {
      while (!is_done() && !events.closed) {
        event_base_loop(base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
        server.HandleExpiry();
      }
      CPPUNIT_ASSERT(is_done());
    };
    client.Connect();
    run_until([&] { return events.is_connected; });
    const auto first = Ask(client, "/echo");
    run_until([&] { return first->IsOver(); });
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), first->body);
    CPPUNIT_ASSERT(client.Rebind());
    const auto second = Ask(client, "/object/1000000");
    run_until([&] { return second->IsOver(); });
    CPPUNIT_ASSERT(second->is_whole);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1'000'000}, second->body.size());
    TestApplication& application = server.Application();
    CPPUNIT_ASSERT(application.At(0).path.remote != application.At(1).path.remote);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UdpClientTest);

}  // namespace
}  // namespace gaugevalve::quic::testing
