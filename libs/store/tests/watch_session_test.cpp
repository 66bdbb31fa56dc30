#include "gaugevalve/store/watch_session.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/base/clock.h"

namespace gaugevalve::store {
namespace {

class WatchSessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WatchSessionTest);
  CPPUNIT_TEST(ResumesAfterTheLastRevision);
  CPPUNIT_TEST(ReadsAgainAfterCompaction);
  CPPUNIT_TEST(DropsWhatWasDelivered);
  CPPUNIT_TEST(LeavesOutAnOlderAnswer);
  CPPUNIT_TEST(ReplacesAStreamThatIsBehind);
  CPPUNIT_TEST(NoticesADeletionThatWasNotDelivered);
  CPPUNIT_TEST(WaitsForAChangeOnItsWay);
  CPPUNIT_TEST(GivesUpAStreamThatDoesNotOpen);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    WatchSessionSettings settings;
    settings.key = "w/";
    settings.range_end = PrefixEnd("w/");
    session_ = std::make_unique<WatchSession>(settings, kSeed);
    session_->Start(clock_.Now());
    Take<ReadForWatch>();
    session_->OnReadResult(Read(10), clock_.Now());
    actions_ = session_->TakeActions();
    CPPUNIT_ASSERT_EQUAL(base::Revision{10}, std::get<WatchSnapshot>(actions_.at(0)).revision);
    CPPUNIT_ASSERT_EQUAL(base::Revision{11},
                         std::get<OpenWatchStream>(actions_.at(1)).request.start_revision);
    session_->OnStreamStarted(clock_.Now());
  }

  void ResumesAfterTheLastRevision() {
    Created();
    session_->OnFrame(Changes({12, 15}), clock_.Now());
    CPPUNIT_ASSERT_EQUAL(base::Revision{15}, Take<WatchChanges>().revision);
    session_->OnStreamClosed(clock_.Now());
    PassBackoff();
    CPPUNIT_ASSERT_EQUAL(base::Revision{16}, Take<OpenWatchStream>().request.start_revision);
  }

  void ReadsAgainAfterCompaction() {
    WatchFrame canceled;
    canceled.canceled = true;
    canceled.compact_revision = base::Revision{20};
    session_->OnFrame(canceled, clock_.Now());
    Take<CloseWatchStream>();
    PassBackoff();
    Take<ReadForWatch>();
    session_->OnReadResult(Read(25), clock_.Now());
    actions_ = session_->TakeActions();
    CPPUNIT_ASSERT_EQUAL(base::Revision{25}, std::get<WatchSnapshot>(actions_.at(0)).revision);
  }

  void DropsWhatWasDelivered() {
    Created();
    session_->OnFrame(Changes({9, 10, 11}), clock_.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<WatchChanges>().events.size());
    session_->OnFrame(Changes({11}), clock_.Now());
    CPPUNIT_ASSERT(session_->TakeActions().empty());
  }

  void LeavesOutAnOlderAnswer() {
    Created();
    session_->OnFrame(Changes({30}), clock_.Now());
    Take<WatchChanges>();
    PassAuditPeriod();
    Take<ReadForWatch>();
    session_->OnReadResult(Read(29), clock_.Now());  // by a replica that lags
    CPPUNIT_ASSERT(session_->TakeActions().empty());
    CPPUNIT_ASSERT(session_->IsStreaming());
  }

  void ReplacesAStreamThatIsBehind() {
    Created();
    PassAuditPeriod();
    const RangeRequest audit = Take<ReadForWatch>().request;
    CPPUNIT_ASSERT(audit.keys_only);
    CPPUNIT_ASSERT_EQUAL(base::Revision{11}, audit.min_mod_revision);
    session_->OnReadResult(ReadWithKey(40, 33), clock_.Now());
    PassAuditGrace();
    Take<ReadForWatch>();
    session_->OnReadResult(ReadWithKey(41, 33), clock_.Now());
    actions_ = session_->TakeActions();
    CPPUNIT_ASSERT(std::holds_alternative<CloseWatchStream>(actions_.at(0)));
    CPPUNIT_ASSERT(!std::get<ReadForWatch>(actions_.at(1)).request.keys_only);
    session_->OnReadResult(ReadWithKey(42, 33), clock_.Now());
    actions_ = session_->TakeActions();
    CPPUNIT_ASSERT_EQUAL(base::Revision{42}, std::get<WatchSnapshot>(actions_.at(0)).revision);
    CPPUNIT_ASSERT_EQUAL(base::Revision{43},
                         std::get<OpenWatchStream>(actions_.at(1)).request.start_revision);
  }

  void NoticesADeletionThatWasNotDelivered() {
    Created();
    WatchFrame creation = Changes({12});
    creation.events[0].key_value.version = 1;
    session_->OnFrame(creation, clock_.Now());
    Take<WatchChanges>();
    PassAuditPeriod();
    Take<ReadForWatch>();
    session_->OnReadResult(Read(20), clock_.Now());  // no key is left
    PassAuditGrace();
    Take<ReadForWatch>();
    session_->OnReadResult(Read(20), clock_.Now());
    actions_ = session_->TakeActions();
    CPPUNIT_ASSERT(std::holds_alternative<CloseWatchStream>(actions_.at(0)));
  }

  void WaitsForAChangeOnItsWay() {
    Created();
    PassAuditPeriod();
    Take<ReadForWatch>();
    session_->OnReadResult(ReadWithKey(40, 33), clock_.Now());
    WatchFrame late = Changes({33});
    late.events[0].key_value.version = 1;
    session_->OnFrame(late, clock_.Now());
    Take<WatchChanges>();
    PassAuditGrace();
    Take<ReadForWatch>();
    session_->OnReadResult(ReadWithKey(41, 33), clock_.Now());
    CPPUNIT_ASSERT(session_->TakeActions().empty());
    CPPUNIT_ASSERT(session_->IsStreaming());
  }

  void GivesUpAStreamThatDoesNotOpen() {
    clock_.Advance(std::chrono::seconds(5));
    session_->Tick(clock_.Now());
    Take<CloseWatchStream>();
    PassBackoff();
    Take<OpenWatchStream>();
  }

 private:
  static constexpr std::uint64_t kSeed = 12;

  static Result Read(std::uint64_t revision) {
    RangeResponse response;
    response.revision = base::Revision{revision};
    return Result::Ok(response);
  }

  // Returns a read at `revision` that finds one key, written at `mod_revision`.
  static Result ReadWithKey(std::uint64_t revision, std::uint64_t mod_revision) {
    Result result = Read(revision);
    auto& response = std::get<RangeResponse>(result.response);
    KeyValue key_value;
    key_value.mod_revision = base::Revision{mod_revision};
    response.key_values.push_back(key_value);
    response.count = 1;
    return result;
  }

  static WatchFrame Changes(const std::vector<std::uint64_t>& revisions) {
    WatchFrame frame;
    for (const std::uint64_t revision : revisions) {
      WatchEvent event;
      event.key_value.mod_revision = base::Revision{revision};
      frame.events.push_back(event);
    }
    return frame;
  }

  void Created() {
    WatchFrame frame;
    frame.created = true;
    session_->OnFrame(frame, clock_.Now());
    CPPUNIT_ASSERT(session_->IsStreaming());
  }

  void PassBackoff() {
    clock_.Advance(BackoffSettings{}.cap);
    session_->Tick(clock_.Now());
  }

  void PassAuditPeriod() {
    clock_.Advance(WatchSessionSettings{}.audit_period);
    session_->Tick(clock_.Now());
  }

  void PassAuditGrace() {
    clock_.Advance(WatchSessionSettings{}.audit_grace);
    session_->Tick(clock_.Now());
  }

  // Returns the only action, which must be of this type.
  template <class Action>
  Action Take() {
    actions_ = session_->TakeActions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions_.size());
    return std::get<Action>(actions_[0]);
  }

  base::ManualClock clock_;
  std::unique_ptr<WatchSession> session_;
  std::vector<WatchAction> actions_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchSessionTest);

}  // namespace
}  // namespace gaugevalve::store
