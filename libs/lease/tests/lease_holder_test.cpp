#include "gaugevalve/lease/lease_holder.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/finding.h"
#include "gaugevalve/lease/fencing_gate.h"
#include "mvcc_store.h"

namespace gaugevalve::lease {
namespace {

class LeaseHolderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseHolderTest);
  CPPUNIT_TEST(AcquiresAndRenews);
  CPPUNIT_TEST(LapsesInAnOutageAndResumesWithTheSameToken);
  CPPUNIT_TEST(DetectsLapseAfterAPause);
  CPPUNIT_TEST(ResolvesLostAnswerByReading);
  CPPUNIT_TEST(ResignsAtOnce);
  CPPUNIT_TEST(LaterHolderHasALargerToken);
  CPPUNIT_TEST(GateRefusesOlderTokens);
  CPPUNIT_TEST(RefusesSettingsThatCannotWork);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcquiresAndRenews() {
    LeaseHolder holder(Settings(), 1);
    Acquire(holder);
    const LeaseView before = holder.View(clock_.Now());
    Advance(holder, std::chrono::seconds(60));
    const LeaseView after = holder.View(clock_.Now());
    CPPUNIT_ASSERT(after.status == LeaseStatus::kHeld);
    CPPUNIT_ASSERT_EQUAL(before.token, after.token);
    CPPUNIT_ASSERT(after.held_until > before.held_until);
  }

  void LapsesInAnOutageAndResumesWithTheSameToken() {
    LeaseHolder holder(Settings(), 1);
    Acquire(holder);
    const FencingToken token = holder.View(clock_.Now()).token;
    answer_ = Unreachable();
    Advance(holder, std::chrono::seconds(5));
    CPPUNIT_ASSERT(holder.View(clock_.Now()).status == LeaseStatus::kHeld);
    CPPUNIT_ASSERT(holder.View(clock_.Now()).renewal_fails);
    Advance(holder, std::chrono::seconds(4));
    CPPUNIT_ASSERT(holder.View(clock_.Now()).status == LeaseStatus::kLapsed);
    CPPUNIT_ASSERT_EQUAL(FencingToken{}, holder.View(clock_.Now()).token);
    // The store still has the lease, because its time did not advance in the outage.
    answer_.reset();
    Advance(holder, std::chrono::seconds(6));
    CPPUNIT_ASSERT(holder.View(clock_.Now()).status == LeaseStatus::kHeld);
    CPPUNIT_ASSERT_EQUAL(token, holder.View(clock_.Now()).token);
  }

  void DetectsLapseAfterAPause() {
    LeaseHolder holder(Settings(), 1);
    Acquire(holder);
    clock_.Advance(std::chrono::seconds(20));  // a pause of the process: no Tick()
    CPPUNIT_ASSERT(holder.View(clock_.Now()).status == LeaseStatus::kLapsed);
  }

  void ResolvesLostAnswerByReading() {
    LeaseHolder holder(Settings(), 1);
    holder.Campaign(clock_.Now());
    RunNext(holder);  // reads the key
    RunNext(holder);  // requests the store lease
    const std::vector<LeaseRequest> acquisition = holder.TakeRequests();
    store_.Apply(acquisition.at(0).request, clock_.Now());
    holder.OnResult(acquisition[0].tag, Lost(), clock_.Now());
    CPPUNIT_ASSERT(holder.View(clock_.Now()).status == LeaseStatus::kNotHeld);
    RunNext(holder);  // reads the key again
    CPPUNIT_ASSERT(holder.View(clock_.Now()).status == LeaseStatus::kHeld);
    CPPUNIT_ASSERT_EQUAL(store_.CurrentRevision().value(), holder.View(clock_.Now()).token.value());
  }

  void ResignsAtOnce() {
    LeaseHolder holder(Settings(), 1);
    Acquire(holder);
    holder.Resign(clock_.Now());
    CPPUNIT_ASSERT(holder.View(clock_.Now()).status == LeaseStatus::kNotHeld);
    RunNext(holder);
    CPPUNIT_ASSERT(store_.Leases().empty());
  }

  void LaterHolderHasALargerToken() {
    LeaseHolder first(Settings(), 1);
    Acquire(first);
    const FencingToken first_token = first.View(clock_.Now()).token;
    first.Resign(clock_.Now());
    RunNext(first);
    LeaseHolder second(Settings(), 2);
    Acquire(second);
    CPPUNIT_ASSERT(second.View(clock_.Now()).token > first_token);
  }

  void GateRefusesOlderTokens() {
    FencingGate gate;
    CPPUNIT_ASSERT(!gate.Admit(FencingToken{0}));
    CPPUNIT_ASSERT(gate.Admit(FencingToken{5}));
    CPPUNIT_ASSERT(gate.Admit(FencingToken{5}));
    CPPUNIT_ASSERT(gate.Admit(FencingToken{7}));
    CPPUNIT_ASSERT(!gate.Admit(FencingToken{5}));
    CPPUNIT_ASSERT_EQUAL(FencingToken{7}, gate.Newest());
  }

  void RefusesSettingsThatCannotWork() {
    LeaseSettings settings = Settings();
    settings.key.clear();
    settings.renew_interval = settings.ttl;
    try {
      const LeaseHolder holder(settings, 1);
      CPPUNIT_FAIL("invalid settings were accepted");
    } catch (const base::FindingsError& error) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, error.findings().size());
    }
  }

 private:
  static LeaseSettings Settings() {
    LeaseSettings settings;
    settings.key = "coordinator";
    settings.holder = "test";
    settings.ttl = std::chrono::seconds(10);
    settings.renew_interval = std::chrono::seconds(3);
    settings.request_timeout = std::chrono::seconds(2);
    return settings;
  }

  static store::Result Unreachable() {
    return store::Result::Failed(store::Outcome::kRefused, store::Reason::kUnreachable, "");
  }

  static store::Result Lost() {
    return store::Result::Failed(store::Outcome::kUnknown, store::Reason::kConnectionLost, "");
  }

  // Answers the next request of the holder; fails the test if there is none.
  void RunNext(LeaseHolder& holder) {
    const std::vector<LeaseRequest> requests = holder.TakeRequests();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
    holder.OnResult(requests[0].tag, Answer(requests[0].request), clock_.Now());
  }

  store::Result Answer(const store::Request& request) {
    return answer_ ? *answer_
                   : store::Result::Ok(store_.Apply(request, base::TimePoint{} + store_time_));
  }

  void Acquire(LeaseHolder& holder) {
    holder.Campaign(clock_.Now());
    RunNext(holder);
    RunNext(holder);
    RunNext(holder);
    CPPUNIT_ASSERT(holder.View(clock_.Now()).status == LeaseStatus::kHeld);
  }

  // Advances time and answers the requests of the holder. The store's time doesn't advance in an
  // outage.
  void Advance(LeaseHolder& holder, base::Duration span) {
    constexpr base::Duration kStep = std::chrono::milliseconds(100);
    for (base::Duration passed{}; passed < span; passed += kStep) {
      clock_.Advance(kStep);
      store_time_ += answer_ ? base::Duration::zero() : kStep;
      holder.Tick(clock_.Now());
      for (const LeaseRequest& request : holder.TakeRequests()) {
        holder.OnResult(request.tag, Answer(request.request), clock_.Now());
      }
    }
  }

  base::ManualClock clock_;
  base::Duration store_time_{};
  standins::MvccStore store_;
  std::optional<store::Result> answer_;  // given to every request while set
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseHolderTest);

}  // namespace
}  // namespace gaugevalve::lease
