// The client against the stand-in store, both on one event loop.
#include "gaugevalve/store/store_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>

#include <functional>
#include <memory>
#include <optional>

#include "store_server.h"

namespace gaugevalve::store {
namespace {

constexpr base::Duration kPatience = std::chrono::seconds(20);

struct EventBaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

// Keeps what a watch delivered.
class RecordingObserver final : public WatchObserver {
 public:
  void OnSnapshot(const WatchSnapshot& snapshot) override { snapshots.push_back(snapshot); }
  void OnChanges(const WatchChanges& changes) override {
    for (const WatchEvent& event : changes.events) {
      events.push_back(event);
    }
  }
  void OnStreaming(bool now_streaming) override { streaming = now_streaming; }

  std::vector<WatchSnapshot> snapshots;
  std::vector<WatchEvent> events;
  bool streaming = false;
};

class StoreClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreClientTest);
  CPPUNIT_TEST(PutsAndReads);
  CPPUNIT_TEST(TransactionComparesRevisions);
  CPPUNIT_TEST(LostAnswerOfWriteIsUnknownAndNotRepeated);
  CPPUNIT_TEST(RefusedConnectionIsRefusedAndRecovers);
  CPPUNIT_TEST(HangingStoreEndsAtTheDeadline);
  CPPUNIT_TEST(RateLimitIsRetriedUntilItPasses);
  CPPUNIT_TEST(WatchDeliversAndResumes);
  CPPUNIT_TEST(WatchReadsAgainAfterCompaction);
  CPPUNIT_TEST(WatchNoticesStaleStream);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loop_.reset(event_base_new());
    server_ = std::make_unique<standins::StoreServer>(loop_.get(), LoopbackAnyPort(), clock_);
    StoreClientSettings settings;
    settings.endpoints = {server_->BoundAddress()};
    settings.scheduler.requests_per_second = 1000;
    settings.scheduler.burst = 1000;
    settings.scheduler.backoff = QuickBackoff();
    client_ = std::make_unique<StoreClient>(loop_.get(), settings, clock_, kSeed);
  }

  void tearDown() override {
    client_.reset();
    server_.reset();
    loop_.reset();
  }

  void PutsAndReads() {
    const Result put = Call(PutRequest{"a", std::string("\0\xff", 2), LeaseId{}});
    CPPUNIT_ASSERT(put.IsOk());
    const Result range = Call(RangeRequest{.key = "a"});
    const auto& response = range.Get<RangeResponse>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, response.key_values.size());
    CPPUNIT_ASSERT_EQUAL(std::string("\0\xff", 2), response.key_values[0].value);
    CPPUNIT_ASSERT_EQUAL(put.Get<PutResponse>().revision, response.key_values[0].mod_revision);
  }

  void TransactionComparesRevisions() {
    const TxnRequest create{{Compare{"k", CompareTarget::kCreateRevision}},
                            {PutRequest{"k", "mine", LeaseId{}}},
                            {RangeRequest{.key = "k"}}};
    CPPUNIT_ASSERT(Call(create).Get<TxnResponse>().succeeded);
    const Result second = Call(create);
    CPPUNIT_ASSERT(!second.Get<TxnResponse>().succeeded);
    const auto& seen = std::get<RangeResponse>(second.Get<TxnResponse>().responses.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("mine"), seen.key_values.at(0).value);
  }

  void LostAnswerOfWriteIsUnknownAndNotRepeated() {
    SetFaults({.lost_answers = 1});
    const Result put = Call(PutRequest{"a", "1", LeaseId{}});
    CPPUNIT_ASSERT(put.outcome == Outcome::kUnknown);
    const Result range = Call(RangeRequest{.key = "a"});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, range.Get<RangeResponse>().key_values.at(0).version);
  }

  void RefusedConnectionIsRefusedAndRecovers() {
    SetFaults({.outage = standins::Outage::kRefuse});
    const Result refused = Call(PutRequest{"a", "1", LeaseId{}}, std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(refused.outcome == Outcome::kRefused);
    SetFaults({});
    CPPUNIT_ASSERT(Call(PutRequest{"a", "1", LeaseId{}}).IsOk());
  }

  void HangingStoreEndsAtTheDeadline() {
    SetFaults({.outage = standins::Outage::kHang});
    const Result put = Call(PutRequest{"a", "1", LeaseId{}}, std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(put.outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT(put.reason == Reason::kDeadline);
  }

  void RateLimitIsRetriedUntilItPasses() {
    SetFaults({.requests_per_second = 1});
    CPPUNIT_ASSERT(Call(PutRequest{"a", "1", LeaseId{}}).IsOk());
    CPPUNIT_ASSERT(Call(PutRequest{"a", "2", LeaseId{}}).IsOk());
    CPPUNIT_ASSERT_EQUAL(base::Revision{3}, server_->Store().CurrentRevision());
  }

  void WatchDeliversAndResumes() {
    Call(PutRequest{"w/1", "old", LeaseId{}});
    RecordingObserver observer;
    const auto watch = StartWatch(observer, std::chrono::seconds(60));
    RunUntil([&] { return observer.streaming; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, observer.snapshots.at(0).key_values.size());
    Call(PutRequest{"w/2", "new", LeaseId{}});
    RunUntil([&] { return observer.events.size() == 1; });
    SetFaults({.outage = standins::Outage::kRefuse});
    RunUntil([&] { return !observer.streaming; });
    SetFaults({});
    Call(PutRequest{"w/3", "after", LeaseId{}});
    RunUntil([&] { return observer.events.size() == 2; });
    CPPUNIT_ASSERT_EQUAL(std::string("w/3"), observer.events[1].key_value.key);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, observer.snapshots.size());
  }

  void WatchReadsAgainAfterCompaction() {
    PutWithLease("w/1");
    PutWithLease("w/2");
    Call(PutRequest{"w/3", "stays", LeaseId{}});
    RecordingObserver observer;
    const auto watch = StartWatch(observer, std::chrono::seconds(60));
    RunUntil([&] { return observer.streaming; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, observer.snapshots.at(0).key_values.size());
    SetFaults({.outage = standins::Outage::kRefuse});
    RunUntil([&] { return !observer.streaming; });
    for (const LeaseId lease : server_->Store().Leases()) {
      server_->ExpireLease(lease);
    }
    server_->Compact(server_->Store().CurrentRevision());
    SetFaults({});
    RunUntil([&] { return observer.snapshots.size() == 2; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, observer.snapshots[1].key_values.size());
    CPPUNIT_ASSERT(observer.events.empty());
  }

  void WatchNoticesStaleStream() {
    RecordingObserver observer;
    const auto watch = StartWatch(observer, std::chrono::milliseconds(100));
    RunUntil([&] { return observer.streaming; });
    SetFaults({.stale_watches = true});
    Call(PutRequest{"w/1", "unseen", LeaseId{}});
    RunUntil([&] { return Latest(observer) == "unseen"; });
    CPPUNIT_ASSERT(observer.events.empty());
    CPPUNIT_ASSERT(observer.snapshots.size() >= 2);
  }

 private:
  static constexpr std::uint64_t kSeed = 4;

  static base::SocketAddress LoopbackAnyPort() {
    return *base::SocketAddress::Parse("127.0.0.1:0");
  }

  static BackoffSettings QuickBackoff() {
    return {std::chrono::milliseconds(20), std::chrono::milliseconds(100)};
  }

  void SetFaults(const standins::FaultSettings& faults) { server_->SetFaults(faults); }

  Result Call(Request request, base::Duration timeout = kPatience) {
    std::optional<Result> end;
    client_->Submit(std::move(request), timeout, [&end](const Result& result) { end = result; });
    RunUntil([&end] { return end.has_value(); });
    return *end;
  }

  void PutWithLease(const std::string& key) {
    const Result grant = Call(LeaseGrantRequest{LeaseId{}, std::chrono::hours(1)});
    CPPUNIT_ASSERT(Call(PutRequest{key, "leased", grant.Get<LeaseGrantResponse>().id}).IsOk());
  }

  std::unique_ptr<Watch> StartWatch(WatchObserver& observer, base::Duration audit_period) {
    WatchSessionSettings settings;
    settings.key = "w/";
    settings.range_end = PrefixEnd("w/");
    settings.backoff = QuickBackoff();
    settings.audit_period = audit_period;
    settings.audit_grace = std::chrono::milliseconds(50);
    return client_->StartWatch(settings, observer);
  }

  // Returns the value last delivered for any key.
  static std::string Latest(const RecordingObserver& observer) {
    KeyValue newest;
    for (const WatchSnapshot& snapshot : observer.snapshots) {
      for (const KeyValue& key_value : snapshot.key_values) {
        newest = key_value.mod_revision > newest.mod_revision ? key_value : newest;
      }
    }
    for (const WatchEvent& event : observer.events) {
      newest = event.key_value.mod_revision > newest.mod_revision ? event.key_value : newest;
    }
    return newest.value;
  }

  // Runs the loop until the condition holds; fails the test when it never does.
  void RunUntil(const std::function<bool()>& condition) {
    const base::TimePoint give_up = clock_.Now() + kPatience;
    while (!condition()) {
      CPPUNIT_ASSERT_MESSAGE("the condition was never met", clock_.Now() < give_up);
      event_base_loop(loop_.get(), EVLOOP_ONCE);
    }
  }

  base::SystemClock clock_;
  std::unique_ptr<event_base, EventBaseDeleter> loop_;
  std::unique_ptr<standins::StoreServer> server_;
  std::unique_ptr<StoreClient> client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);

}  // namespace
}  // namespace gaugevalve::store
