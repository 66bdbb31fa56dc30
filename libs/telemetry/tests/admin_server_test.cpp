#include "gaugevalve/telemetry/admin_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <stdexcept>

namespace gaugevalve::telemetry {
namespace {

// What an HTTP client saw.
struct Answer {
  int status = 0;
  std::string body;
  event_base* base = nullptr;
};

class AdminServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdminServerTest);
  CPPUNIT_TEST(ServesMetrics);
  CPPUNIT_TEST(ReadinessTellsEveryReasonAndLivenessNone);
  CPPUNIT_TEST(HandlerSeesQueryAndItsFailureIsAnswered);
  CPPUNIT_TEST(UnknownPageIsNotFound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    base_ = event_base_new();
    registry_ = std::make_shared<prometheus::Registry>();
    server_ =
        std::make_unique<AdminServer>(base_, *base::SocketAddress::Parse("127.0.0.1:0"), registry_);
  }

  void tearDown() override {
    server_.reset();
    event_base_free(base_);
  }

  void ServesMetrics() {
    auto& family = prometheus::BuildCounter().Name("datagrams_total").Register(*registry_);
    family.Add({{"reason", "truncated"}}).Increment(2);
    const Answer answer = Get("/metrics");
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT(answer.body.find("datagrams_total{reason=\"truncated\"} 2") !=
                   std::string::npos);
  }

  void ReadinessTellsEveryReasonAndLivenessNone() {
    CPPUNIT_ASSERT_EQUAL(200, Get("/readyz").status);
    std::vector<std::string> reasons{"no settings yet", "no table"};
    server_->AddReadinessCheck([&] { return reasons; });
    server_->AddReadinessCheck([] { return std::vector<std::string>{"draining"}; });
    const Answer answer = Get("/readyz");
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("no settings yet\nno table\ndraining\n"), answer.body);
    reasons.clear();
    CPPUNIT_ASSERT_EQUAL(std::string("draining\n"), Get("/readyz").body);
    CPPUNIT_ASSERT_EQUAL(200, Get("/healthz").status);
  }

  void HandlerSeesQueryAndItsFailureIsAnswered() {
    server_->Handle("/explain", [](const AdminRequest& request) -> AdminResponse {
      if (request.Parameter("flow").empty()) {
        throw std::invalid_argument("flow is missing");
      }
      return {200, "text/plain", request.Parameter("flow")};
    });
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9 x"), Get("/explain?flow=127.0.0.1%3A9+x").body);
    const Answer failed = Get("/explain");
    CPPUNIT_ASSERT_EQUAL(500, failed.status);
    CPPUNIT_ASSERT_EQUAL(std::string("flow is missing\n"), failed.body);
  }

  void UnknownPageIsNotFound() { CPPUNIT_ASSERT_EQUAL(404, Get("/nothing").status); }

 private:
  static void OnAnswer(evhttp_request* request, void* context) {
    auto* const answer = static_cast<Answer*>(context);
    if (request != nullptr) {
      answer->status = evhttp_request_get_response_code(request);
      evbuffer* const body = evhttp_request_get_input_buffer(request);
      answer->body.resize(evbuffer_get_length(body));
      evbuffer_copyout(body, answer->body.data(), answer->body.size());
    }
    event_base_loopbreak(answer->base);
  }

  Answer Get(const char* target) {
    Answer answer;
    answer.base = base_;
    evhttp_connection* const connection =
        evhttp_connection_base_new(base_, nullptr, "127.0.0.1", server_->BoundAddress().port);
    evhttp_request* const request = evhttp_request_new(&OnAnswer, &answer);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "127.0.0.1");
    evhttp_make_request(connection, request, EVHTTP_REQ_GET, target);
    event_base_dispatch(base_);
    evhttp_connection_free(connection);
    return answer;
  }

  event_base* base_ = nullptr;
  std::shared_ptr<prometheus::Registry> registry_;
  std::unique_ptr<AdminServer> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdminServerTest);

}  // namespace
}  // namespace gaugevalve::telemetry
