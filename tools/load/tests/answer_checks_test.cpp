#include "answer_checks.h"

#include <cppunit/extensions/HelperMacros.h>

#include "board_reader.h"
#include "gaugevalve/standins/drawing_pattern.h"

namespace gaugevalve::load {
namespace {

std::span<const std::uint8_t> AsBytes(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

quic::ResponseHead Head(int status, const quic::HeaderFields& fields = {}) {
  return {status, fields};
}

class AnswerChecksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerChecksTest);
  CPPUNIT_TEST(AReservationMustNameItsKey);
  CPPUNIT_TEST(ADrawingMustBeItsOwnAndWhole);
  CPPUNIT_TEST(RefusalsThatPromiseAreNotRun);
  CPPUNIT_TEST(ResetsAreUnknownUnlessRejected);
  CPPUNIT_TEST(TheBoardsGapsAreCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AReservationMustNameItsKey() {
    ReservationCheck own("k1", Keep());
    own.OnHead(Head(201, {{"gaugevalve-endpoint", "stock-1"}}));
    own.OnBody(AsBytes(R"({"key")"));
    own.OnBody(AsBytes(R"(:"k1"})"));
    own.OnEnd();
    CPPUNIT_ASSERT(found_.outcome == CallerOutcome::kAnswered && !found_.is_crossed);
    CPPUNIT_ASSERT_EQUAL(std::string("stock-1"), found_.endpoint);
    for (const char* body : {R"({"key":"k2"})", "{}", "[]", ""}) {
      ReservationCheck other("k1", Keep());
      other.OnHead(Head(201));
      other.OnBody(AsBytes(body));
      other.OnEnd();
      CPPUNIT_ASSERT_MESSAGE(body, found_.is_crossed);
    }
  }

  void ADrawingMustBeItsOwnAndWhole() {
    const std::string bytes = standins::DrawingBytes(7, 0, 100);
    for (const auto& [drawing, sent, is_crossed, is_cut] :
         {std::tuple(7, 100, false, false), {8, 100, true, false}, {7, 50, false, true}}) {
      DrawingCheck check(drawing, Keep());
      check.OnHead(Head(200, {{"content-length", "100"}}));
      check.OnBody(AsBytes(bytes.substr(0, 30)));
      check.OnBody(AsBytes(bytes.substr(30, sent - 30)));
      check.OnEnd();
      CPPUNIT_ASSERT_EQUAL(is_crossed, found_.is_crossed);
      CPPUNIT_ASSERT_EQUAL(is_cut, found_.is_cut_as_whole);
    }
  }

  void RefusalsThatPromiseAreNotRun() {
    ReservationCheck refused("k1", Keep());
    refused.OnHead(Head(503, {{"gaugevalve-outcome", "not-run"}}));
    refused.OnEnd();
    CPPUNIT_ASSERT(found_.outcome == CallerOutcome::kNotRun);
    ReservationCheck failed("k1", Keep());
    failed.OnHead(Head(502, {{"gaugevalve-outcome", "unknown"}}));
    failed.OnEnd();
    CPPUNIT_ASSERT(found_.outcome == CallerOutcome::kUnknown);
  }

  void ResetsAreUnknownUnlessRejected() {
    using Kind = quic::RequestFailure::Kind;
    ReservationCheck rejected("k1", Keep());
    rejected.OnFailed({Kind::kReset, quic::Http3Error::kRequestRejected});
    CPPUNIT_ASSERT(found_.outcome == CallerOutcome::kNotRun);
    ReservationCheck reset("k1", Keep());
    reset.OnFailed({Kind::kReset, quic::Http3Error::kInternalError});
    CPPUNIT_ASSERT(found_.outcome == CallerOutcome::kUnknown);
  }

  void TheBoardsGapsAreCounted() {
    BoardReader board;
    board.Read(AsBytes("id: 5\ndata: {}\n\nid: 6\nda"));
    board.Read(AsBytes("ta: {}\n\nid: 8\n\nid: 8\n\n"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, board.Events());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, board.Gaps());
  }

 private:
  AnswerCheck::Done Keep() {
    return [this](const CheckedAnswer& answer) { found_ = answer; };
  }

  CheckedAnswer found_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerChecksTest);

}  // namespace
}  // namespace gaugevalve::load
