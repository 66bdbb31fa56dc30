#include "gaugevalve/http_client/concurrent_calls.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <sys/socket.h>

#include <string>
#include <vector>

#include "gaugevalve/tasks/task.h"

namespace gaugevalve::http_client {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kLong = seconds(60);  // ends a run that hangs, and nothing else

// The server answers /now at once, and holds all other requests.
class ConcurrentCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConcurrentCallsTest);
  CPPUNIT_TEST(ACallDoesNotWaitForAnEarlierOne);
  CPPUNIT_TEST(AnEarlierCallIsAnsweredLate);
  CPPUNIT_TEST(CancelledCallsAreNotReported);
  CPPUNIT_TEST(AHandlerMayCancelTheOthers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_server = evhttp_new(m_loop.get());
    evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(m_server, "127.0.0.1", 0);
    sockaddr_storage storage{};
    socklen_t length = sizeof storage;
    getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&storage), &length);
    m_address = *base::SocketAddress::FromNative(storage);
    evhttp_set_gencb(m_server, &ConcurrentCallsTest::OnRequest, this);
  }

  void tearDown() override { evhttp_free(m_server); }

  void ACallDoesNotWaitForAnEarlierOne() {
    ConcurrentCalls calls(m_loop.get(), m_address);
    StartHeld(calls);
    Start(calls, "/now");
    RunUntilAnswers(1);
    CPPUNIT_ASSERT_EQUAL(std::string("/now"), m_answers[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, calls.InProgress());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, calls.Count());
  }

  void AnEarlierCallIsAnsweredLate() {
    ConcurrentCalls calls(m_loop.get(), m_address);
    StartHeld(calls);
    Start(calls, "/now");
    RunUntilAnswers(1);
    Reply(m_held.at(0));
    RunUntilAnswers(2);
    CPPUNIT_ASSERT_EQUAL(std::string("/held"), m_answers[1]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, calls.InProgress());
  }

  void CancelledCallsAreNotReported() {
    ConcurrentCalls calls(m_loop.get(), m_address);
    const CallId first = StartHeld(calls);
    StartHeld(calls);
    calls.Cancel(first);
    calls.Cancel(first);  // no longer in progress
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, calls.InProgress());
    calls.CancelAll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, calls.InProgress());
    Start(calls, "/now");
    RunUntilAnswers(1);
    CPPUNIT_ASSERT(m_answers == std::vector<std::string>{"/now"});
  }

  void AHandlerMayCancelTheOthers() {
    ConcurrentCalls calls(m_loop.get(), m_address);
    StartHeld(calls);
    calls.Start({Method::kGet, "/now", ""}, kLong, [&](const auto& /*answer*/) {
      calls.CancelAll();
      Start(calls, "/now");
    });
    RunUntilAnswers(1);
    CPPUNIT_ASSERT(m_answers == std::vector<std::string>{"/now"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, calls.InProgress());
  }

 private:
  static void OnRequest(evhttp_request* request, void* self) {
    if (std::string(evhttp_request_get_uri(request)) == "/now") {
      Reply(request);
    } else {
      static_cast<ConcurrentCallsTest*>(self)->m_held.push_back(request);
    }
  }

  static void Reply(evhttp_request* request) {
    evbuffer_add_printf(evhttp_request_get_output_buffer(request), "%s",
                        evhttp_request_get_uri(request));
    evhttp_send_reply(request, HTTP_OK, nullptr, nullptr);
  }

  CallId Start(ConcurrentCalls& calls, const std::string& path) {
    return calls.Start({Method::kGet, path, ""}, kLong,
                       [this](const std::optional<HttpAnswer>& answer) {
                         m_answers.push_back(answer ? answer->body : "nothing");
                       });
  }

  // Starts a call and waits until the server holds it.
  CallId StartHeld(ConcurrentCalls& calls) {
    const std::size_t held = m_held.size();
    const CallId call = Start(calls, "/held");
    while (m_held.size() == held) {
      event_base_loop(m_loop.get(), EVLOOP_ONCE);
    }
    return call;
  }

  void RunUntilAnswers(std::size_t count) {
    while (m_answers.size() < count) {
      event_base_loop(m_loop.get(), EVLOOP_ONCE);
    }
  }

  tasks::LoopPointer m_loop = tasks::MakeLoop();
  evhttp* m_server = nullptr;
  base::SocketAddress m_address;
  std::vector<evhttp_request*> m_held;
  std::vector<std::string> m_answers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConcurrentCallsTest);

}  // namespace
}  // namespace gaugevalve::http_client
