#include "gaugevalve/http_client/timed_call.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <sys/socket.h>

#include <string>

#include "gaugevalve/tasks/task.h"

namespace gaugevalve::http_client {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kLong = seconds(60);  // ends a run that hangs, and nothing else

class TimedCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TimedCallTest);
  CPPUNIT_TEST(AnAnswerIsHandedOn);
  CPPUNIT_TEST(SilenceEndsWithTheTime);
  CPPUNIT_TEST(TheNextCallAfterSilenceIsAnswered);
  CPPUNIT_TEST(ARefusedConnectionIsTold);
  CPPUNIT_TEST(AHandlerMayStartTheNextCall);
  CPPUNIT_TEST(ACancelledCallIsNotReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_server = evhttp_new(m_loop.get());
    evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(m_server, "127.0.0.1", 0);
    sockaddr_storage storage{};
    socklen_t length = sizeof storage;
    getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&storage), &length);
    m_address = *base::SocketAddress::FromNative(storage);
    evhttp_set_gencb(m_server, &TimedCallTest::OnRequest, this);
  }

  void tearDown() override { CloseServer(); }

  void AnAnswerIsHandedOn() {
    TimedCall call(m_loop.get(), m_address);
    CPPUNIT_ASSERT_EQUAL(std::string("200 hello"), Run(call, kLong));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, call.Count());
  }

  void SilenceEndsWithTheTime() {
    m_is_silent = true;
    TimedCall call(m_loop.get(), m_address);
    CPPUNIT_ASSERT_EQUAL(std::string("nothing"), Run(call, milliseconds(20)));
    CPPUNIT_ASSERT(!call.WasRefused());
    CPPUNIT_ASSERT(!call.IsBusy());
  }

  void TheNextCallAfterSilenceIsAnswered() {
    m_is_silent = true;
    TimedCall call(m_loop.get(), m_address);
    Run(call, milliseconds(20));
    m_is_silent = false;
    CPPUNIT_ASSERT_EQUAL(std::string("200 hello"), Run(call, kLong));
  }

  void ARefusedConnectionIsTold() {
    CloseServer();
    TimedCall call(m_loop.get(), m_address);
    CPPUNIT_ASSERT_EQUAL(std::string("nothing"), Run(call, kLong));
    CPPUNIT_ASSERT(call.WasRefused());
  }

  void AHandlerMayStartTheNextCall() {
    TimedCall call(m_loop.get(), m_address);
    int answers = 0;
    const TimedCall::Handler second = [&](const auto& answer) {
      answers += answer ? 1 : 0;
      event_base_loopbreak(m_loop.get());
    };
    call.Start({Method::kGet, "/", ""}, kLong, [&](const auto& answer) {
      answers += answer ? 1 : 0;
      call.Start({Method::kGet, "/", ""}, kLong, second);
    });
    event_base_dispatch(m_loop.get());
    CPPUNIT_ASSERT_EQUAL(2, answers);
  }

  void ACancelledCallIsNotReported() {
    TimedCall call(m_loop.get(), m_address);
    call.Start({Method::kGet, "/", ""}, kLong,
               [](const auto& /*answer*/) { CPPUNIT_FAIL("the call was cancelled"); });
    call.Cancel();
    CPPUNIT_ASSERT(!call.IsBusy());
    CPPUNIT_ASSERT_EQUAL(std::string("200 hello"), Run(call, kLong));
    call.Cancel();  // no call is in progress
    CPPUNIT_ASSERT_EQUAL(std::string("200 hello"), Run(call, kLong));
  }

 private:
  static void OnRequest(evhttp_request* request, void* self) {
    if (static_cast<TimedCallTest*>(self)->m_is_silent) {
      return;  // the request goes with its connection
    }
    evbuffer_add_printf(evhttp_request_get_output_buffer(request), "hello");
    evhttp_send_reply(request, HTTP_OK, nullptr, nullptr);
  }

  void CloseServer() {
    if (m_server != nullptr) {
      evhttp_free(m_server);
      m_server = nullptr;
    }
  }

  std::string Run(TimedCall& call, base::Duration timeout) {
    std::string text;
    call.Start({Method::kGet, "/", ""}, timeout, [&](const std::optional<HttpAnswer>& answer) {
      text = answer ? std::to_string(answer->status) + " " + answer->body : "nothing";
      event_base_loopbreak(m_loop.get());
    });
    event_base_dispatch(m_loop.get());
    return text;
  }

  tasks::LoopPointer m_loop = tasks::MakeLoop();
  evhttp* m_server = nullptr;
  base::SocketAddress m_address;
  bool m_is_silent = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimedCallTest);

}  // namespace
}  // namespace gaugevalve::http_client
