#include "http_endpoint.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "gaugevalve/standins/drawing_pattern.h"
#include "gaugevalve/tasks/task.h"

namespace gaugevalve::standins {
namespace {

constexpr std::size_t kDrawingBytes = 1U << 20U;

// A caller that keeps the bytes it is sent, over a plain TCP connection.
class Caller {
 public:
  Caller(event_base* loop, const base::SocketAddress& address)
      : connection_(bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE)) {
    sockaddr_storage native{};
    const socklen_t length = address.ToNative(native);
    bufferevent_setcb(connection_, &Caller::OnRead, nullptr, &Caller::OnEvent, this);
    bufferevent_enable(connection_, EV_READ | EV_WRITE);
    bufferevent_socket_connect(connection_, reinterpret_cast<sockaddr*>(&native),
                               static_cast<int>(length));
  }
  ~Caller() { Leave(); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  void Send(const std::string& text) { bufferevent_write(connection_, text.data(), text.size()); }

  void Leave() {
    if (connection_ != nullptr) {
      bufferevent_free(std::exchange(connection_, nullptr));
    }
  }

  bool HasRead(const std::string& text) const { return read_.find(text) != std::string::npos; }
  bool IsEnded() const { return ended_; }

  // Returns the bytes after the header.
  std::string Body() const {
    const std::size_t end = read_.find("\r\n\r\n");
    return end == std::string::npos ? "" : read_.substr(end + 4);
  }

 private:
  static void OnRead(bufferevent* connection, void* self) {
    evbuffer* const input = bufferevent_get_input(connection);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    static_cast<Caller*>(self)->read_ += bytes;
  }
  static void OnEvent(bufferevent* /*connection*/, short events, void* self) {
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      static_cast<Caller*>(self)->ended_ = true;
    }
  }

  bufferevent* connection_;
  std::string read_;
  bool ended_ = false;
};

class HttpEndpointTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpEndpointTest);
  CPPUNIT_TEST(ADrawingIsWhole);
  CPPUNIT_TEST(ACutAnswerEndsBeforeItsLength);
  CPPUNIT_TEST(ReservationsAreInTheLedgerAndTheOverflowIsShed);
  CPPUNIT_TEST(ACallerThatLeavesFreesTheSlotOfItsDrawing);
  CPPUNIT_TEST(TheBoardStaysOpen);
  CPPUNIT_TEST(RefusedConnectionsEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    HttpEndpointSettings settings;
    settings.address = base::SocketAddress::Ipv4(0x7F000001, 0);
    settings.max_connections = 10;
    settings.board_interval = std::chrono::milliseconds(1);
    settings.work.slots = 1;
    settings.work.queue_limit = 1;
    settings.work.service_time.when_warm = std::chrono::milliseconds(1);
    settings.work.drawing_bytes = kDrawingBytes;
    endpoint_ = std::make_unique<HttpEndpoint>(
        loop_.get(), settings, EndpointIdentity{"stock-1", "stock"}, faults_, ledger_);
  }

  void ADrawingIsWhole() {
    Caller caller(loop_.get(), endpoint_->BoundAddress());
    caller.Send("GET /drawings/7 HTTP/1.1\r\nHost: x\r\n\r\n");
    RunUntil([&] { return caller.Body().size() >= kDrawingBytes; });
    CPPUNIT_ASSERT(caller.Body() == DrawingBytes(7, 0, kDrawingBytes));
    CPPUNIT_ASSERT_EQUAL(1, Ledger("drawings").get<int>());
  }

  void ACutAnswerEndsBeforeItsLength() {
    faults_.cut_fraction = 1;
    Caller caller(loop_.get(), endpoint_->BoundAddress());
    caller.Send("GET /drawings/7 HTTP/1.1\r\nHost: x\r\n\r\n");
    RunUntil([&] { return caller.IsEnded(); });
    CPPUNIT_ASSERT(caller.HasRead("Content-Length: " + std::to_string(kDrawingBytes)));
    CPPUNIT_ASSERT(caller.Body() == DrawingBytes(7, 0, kDrawingBytes / 2));
  }

  void ReservationsAreInTheLedgerAndTheOverflowIsShed() {
    faults_.hang = true;  // the slot stays taken
    Caller first(loop_.get(), endpoint_->BoundAddress());
    first.Send(Reservation("k1"));
    RunUntil([&] { return Ledger("reservations").contains("k1"); });
    Caller second(loop_.get(), endpoint_->BoundAddress());
    second.Send(Reservation("k1"));
    RunUntil([&] { return Load().HasRead("\"waiting\":1"); });
    Caller third(loop_.get(), endpoint_->BoundAddress());
    third.Send(Reservation("k3"));
    RunUntil([&] { return third.HasRead("no slot is free"); });
    CPPUNIT_ASSERT(third.HasRead("503") && third.HasRead("Retry-After: 1"));
    CPPUNIT_ASSERT(third.HasRead("Gaugevalve-Outcome: not-run"));
    faults_.hang = false;
    RunUntil([&] { return second.HasRead("\"execution\":2"); });
    CPPUNIT_ASSERT(first.HasRead("\"execution\":1"));
    CPPUNIT_ASSERT_EQUAL(2, Ledger("reservations")["k1"].get<int>());
    CPPUNIT_ASSERT(!Ledger("reservations").contains("k3"));
  }

  void ACallerThatLeavesFreesTheSlotOfItsDrawing() {
    faults_.hang = true;
    Caller first(loop_.get(), endpoint_->BoundAddress());
    first.Send("GET /drawings/1 HTTP/1.1\r\nHost: x\r\n\r\n");
    RunUntil([&] { return Ledger("drawings") == 1; });
    Caller second(loop_.get(), endpoint_->BoundAddress());
    second.Send("GET /drawings/2 HTTP/1.1\r\nHost: x\r\n\r\n");
    RunUntil([&] { return Load().HasRead("\"waiting\":1"); });
    first.Leave();
    RunUntil([&] { return Ledger("drawings") == 2; });
  }

  void TheBoardStaysOpen() {
    Caller caller(loop_.get(), endpoint_->BoundAddress());
    caller.Send("GET /board HTTP/1.1\r\nHost: x\r\n\r\n");
    RunUntil([&] { return caller.HasRead("{\"event\":20}"); });
    CPPUNIT_ASSERT(caller.HasRead("text/event-stream") && !caller.IsEnded());
  }

  void RefusedConnectionsEnd() {
    faults_.refuse_connections = true;
    Caller caller(loop_.get(), endpoint_->BoundAddress());
    RunUntil([&] { return caller.IsEnded(); });
  }

 private:
  static std::string Reservation(const std::string& key) {
    return "POST /reservations HTTP/1.1\r\nHost: x\r\nIdempotency-Key: " + key +
           "\r\nContent-Length: 2\r\n\r\n{}";
  }

  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) {
      event_base_loop(loop_.get(), EVLOOP_ONCE);
    }
  }

  nlohmann::json Ledger(const std::string& field) const { return ledger_.ToJson()[field]; }

  // Returns a caller that has the answer of /load.
  Caller& Load() {
    load_ = std::make_unique<Caller>(loop_.get(), endpoint_->BoundAddress());
    load_->Send("GET /load HTTP/1.1\r\nHost: x\r\n\r\n");
    RunUntil([&] { return load_->HasRead("\"waiting\""); });
    return *load_;
  }

  tasks::LoopPointer loop_ = tasks::MakeLoop();
  EndpointFaults faults_;
  RequestLedger ledger_;
  std::unique_ptr<Caller> load_;
  std::unique_ptr<HttpEndpoint> endpoint_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpEndpointTest);

}  // namespace
}  // namespace gaugevalve::standins
