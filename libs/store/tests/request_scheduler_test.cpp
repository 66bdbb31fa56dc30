#include "gaugevalve/store/request_scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "gaugevalve/base/clock.h"

namespace gaugevalve::store {
namespace {

using http_client::HttpAnswer;
using http_client::TransportFailure;

class RequestSchedulerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestSchedulerTest);
  CPPUNIT_TEST(KeepsToTheRate);
  CPPUNIT_TEST(SharesReadsThatWait);
  CPPUNIT_TEST(DoesNotShareAReadOnItsWay);
  CPPUNIT_TEST(RenewalsGoFirst);
  CPPUNIT_TEST(NeverRepeatsAWriteThatMayHaveArrived);
  CPPUNIT_TEST(RepeatsAWriteThatWasNotSent);
  CPPUNIT_TEST(RepeatsReadsWithinTheRetryBudget);
  CPPUNIT_TEST(EarlierUnknownAttemptIsNotForgotten);
  CPPUNIT_TEST(TellsRefusalsApart);
  CPPUNIT_TEST(HoldsBackAsLongAsAsked);
  CPPUNIT_TEST(EndsAtTheDeadline);
  CPPUNIT_TEST(RefusesWhenFull);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsToTheRate() {
    SchedulerSettings settings;
    settings.requests_per_second = 2;
    settings.burst = 3;
    settings.concurrent_attempts = 100;
    RequestScheduler scheduler(settings, kSeed);
    for (int index = 0; index < 100; ++index) {
      scheduler.Submit(PutRequest{std::to_string(index), "", LeaseId{}}, Later(1000), Now());
    }
    std::size_t sent = AnswerAll(scheduler);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sent);
    for (int step = 0; step < 100; ++step) {
      clock_.Advance(std::chrono::milliseconds(100));
      scheduler.Tick(Now());
      sent += AnswerAll(scheduler);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3 + 20}, sent);
  }

  void SharesReadsThatWait() {
    SchedulerSettings settings;
    settings.concurrent_attempts = 1;
    RequestScheduler scheduler(settings, kSeed);
    scheduler.Submit(RangeRequest{.key = "first"}, Later(60), Now());
    scheduler.Submit(RangeRequest{.key = "same"}, Later(60), Now());
    scheduler.Submit(RangeRequest{.key = "same"}, Later(60), Now());
    Answer(scheduler, Collect(scheduler).at(0));
    const auto sent = Collect(scheduler);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    Answer(scheduler, sent[0]);
    Collect(scheduler);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, completed_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scheduler.PendingCount());
  }

  void DoesNotShareAReadOnItsWay() {
    RequestScheduler scheduler(SchedulerSettings{}, kSeed);
    scheduler.Submit(RangeRequest{.key = "k"}, Later(60), Now());
    scheduler.Submit(RangeRequest{.key = "k"}, Later(60), Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Collect(scheduler).size());
  }

  void RenewalsGoFirst() {
    SchedulerSettings settings;
    settings.concurrent_attempts = 1;
    RequestScheduler scheduler(settings, kSeed);
    scheduler.Submit(RangeRequest{.key = "running"}, Later(60), Now());
    scheduler.Submit(RangeRequest{.key = "waiting"}, Later(60), Now());
    scheduler.Submit(PutRequest{"waiting", "", LeaseId{}}, Later(60), Now());
    scheduler.Submit(LeaseKeepAliveRequest{LeaseId{1}}, Later(60), Now());
    std::vector<std::string> paths;
    for (auto sent = Collect(scheduler); !sent.empty(); sent = Collect(scheduler)) {
      paths.push_back(sent[0].encoded.path);
      Answer(scheduler, sent[0]);
    }
    const std::vector<std::string> expected{"/v3/kv/range", "/v3/lease/keepalive", "/v3/kv/put",
                                            "/v3/kv/range"};
    CPPUNIT_ASSERT(expected == paths);
  }

  void NeverRepeatsAWriteThatMayHaveArrived() {
    for (const int status : {500, 503, 504, 0}) {
      RequestScheduler scheduler(SchedulerSettings{}, kSeed);
      const RequestId id = scheduler.Submit(PutRequest{"k", "v", LeaseId{}}, Later(60), Now());
      const AttemptId attempt = Collect(scheduler).at(0).attempt;
      if (status == 0) {
        scheduler.OnAttemptFailed(attempt, TransportFailure::kMaybeSent, "cut", Now());
      } else {
        scheduler.OnAnswer(attempt, {status, ""}, Now());
      }
      Collect(scheduler);
      CPPUNIT_ASSERT(completed_.at(id).outcome == Outcome::kUnknown);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scheduler.PendingCount());
    }
  }

  void RepeatsAWriteThatWasNotSent() {
    RequestScheduler scheduler(SchedulerSettings{}, kSeed);
    const RequestId id = scheduler.Submit(PutRequest{"k", "v", LeaseId{}}, Later(60), Now());
    scheduler.OnAttemptFailed(Collect(scheduler).at(0).attempt, TransportFailure::kNotSent, "",
                              Now());
    clock_.Advance(std::chrono::seconds(30));
    scheduler.Tick(Now());
    scheduler.OnAnswer(Collect(scheduler).at(0).attempt, {200, "{}"}, Now());
    Collect(scheduler);
    CPPUNIT_ASSERT(completed_.at(id).IsOk());
  }

  void RepeatsReadsWithinTheRetryBudget() {
    SchedulerSettings settings;
    settings.retry_budget = {0, 0, 3};
    RequestScheduler scheduler(settings, kSeed);
    const RequestId id = scheduler.Submit(RangeRequest{.key = "k"}, Later(1000), Now());
    std::size_t attempts = 0;
    for (auto sent = Collect(scheduler); !sent.empty(); sent = Collect(scheduler)) {
      ++attempts;
      scheduler.OnAttemptFailed(sent[0].attempt, TransportFailure::kMaybeSent, "", Now());
      clock_.Advance(std::chrono::seconds(30));
      scheduler.Tick(Now());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, attempts);
    CPPUNIT_ASSERT(completed_.at(id).outcome == Outcome::kRefused);
  }

  void EarlierUnknownAttemptIsNotForgotten() {
    RequestScheduler scheduler(SchedulerSettings{}, kSeed);
    const RequestId id = scheduler.Submit(LeaseRevokeRequest{LeaseId{1}}, Later(100), Now());
    scheduler.OnAttemptFailed(Collect(scheduler).at(0).attempt, TransportFailure::kMaybeSent, "",
                              Now());
    clock_.Advance(std::chrono::seconds(30));
    scheduler.Tick(Now());
    scheduler.OnAttemptFailed(Collect(scheduler).at(0).attempt, TransportFailure::kNotSent, "",
                              Now());
    clock_.Advance(std::chrono::seconds(100));
    scheduler.Tick(Now());
    Collect(scheduler);
    CPPUNIT_ASSERT(completed_.at(id).outcome == Outcome::kUnknown);
  }

  void TellsRefusalsApart() {
    const std::map<std::string, Reason> bodies{{R"({"code":5})", Reason::kNotFound},
                                               {R"({"code":11})", Reason::kCompacted},
                                               {R"({"code":3})", Reason::kInvalid}};
    for (const auto& [body, reason] : bodies) {
      RequestScheduler scheduler(SchedulerSettings{}, kSeed);
      const RequestId id = scheduler.Submit(TxnRequest{}, Later(60), Now());
      scheduler.OnAnswer(Collect(scheduler).at(0).attempt, {400, body}, Now());
      Collect(scheduler);
      CPPUNIT_ASSERT(completed_.at(id).outcome == Outcome::kRefused);
      CPPUNIT_ASSERT(completed_.at(id).reason == reason);
    }
  }

  void HoldsBackAsLongAsAsked() {
    RequestScheduler scheduler(SchedulerSettings{}, kSeed);
    scheduler.Submit(PutRequest{"k", "v", LeaseId{}}, Later(60), Now());
    HttpAnswer busy{429, ""};
    busy.retry_after = std::chrono::seconds(7);
    scheduler.OnAnswer(Collect(scheduler).at(0).attempt, busy, Now());
    clock_.Advance(std::chrono::milliseconds(6900));
    scheduler.Tick(Now());
    CPPUNIT_ASSERT(Collect(scheduler).empty());
    clock_.Advance(std::chrono::seconds(20));
    scheduler.Tick(Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Collect(scheduler).size());
  }

  void EndsAtTheDeadline() {
    SchedulerSettings settings;
    settings.concurrent_attempts = 1;
    RequestScheduler scheduler(settings, kSeed);
    const RequestId running = scheduler.Submit(PutRequest{"a", "", LeaseId{}}, Later(1), Now());
    const RequestId waiting = scheduler.Submit(PutRequest{"b", "", LeaseId{}}, Later(1), Now());
    Collect(scheduler);
    CPPUNIT_ASSERT(scheduler.NextDue(Now()) == Later(1));
    clock_.Advance(std::chrono::seconds(1));
    scheduler.Tick(Now());
    Collect(scheduler);
    CPPUNIT_ASSERT(completed_.at(running).outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT(completed_.at(waiting).outcome == Outcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cancelled_);
    CPPUNIT_ASSERT(!scheduler.NextDue(Now()).has_value());
  }

  void RefusesWhenFull() {
    SchedulerSettings settings;
    settings.queue_limit = 1;
    RequestScheduler scheduler(settings, kSeed);
    scheduler.Submit(PutRequest{"a", "", LeaseId{}}, Later(1), Now());
    const RequestId refused = scheduler.Submit(PutRequest{"b", "", LeaseId{}}, Later(1), Now());
    Collect(scheduler);
    CPPUNIT_ASSERT(completed_.at(refused).reason == Reason::kQueueFull);
  }

 private:
  static constexpr std::uint64_t kSeed = 11;

  base::TimePoint Now() const { return clock_.Now(); }
  base::TimePoint Later(int seconds) const { return Now() + std::chrono::seconds(seconds); }

  // Returns the attempts to send, and keeps what has ended in completed_ and cancelled_.
  std::vector<SendAttempt> Collect(RequestScheduler& scheduler) {
    std::vector<SendAttempt> sent;
    for (const SchedulerAction& action : scheduler.TakeActions()) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        sent.push_back(*send);
      } else if (const auto* complete = std::get_if<CompleteRequest>(&action)) {
        completed_[complete->request] = complete->result;
      } else {
        ++cancelled_;
      }
    }
    return sent;
  }

  void Answer(RequestScheduler& scheduler, const SendAttempt& attempt) {
    scheduler.OnAnswer(attempt.attempt, {200, R"({"result":{}})"}, Now());
  }

  // Answers all that was sent and returns how much it was.
  std::size_t AnswerAll(RequestScheduler& scheduler) {
    const std::vector<SendAttempt> sent = Collect(scheduler);
    for (const SendAttempt& attempt : sent) {
      Answer(scheduler, attempt);
    }
    return sent.size();
  }

  base::ManualClock clock_;
  std::map<RequestId, Result> completed_;
  std::size_t cancelled_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestSchedulerTest);

}  // namespace
}  // namespace gaugevalve::store
