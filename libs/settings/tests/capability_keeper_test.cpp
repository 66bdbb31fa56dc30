#include "gaugevalve/settings/capability_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/settings/store_layout.h"

namespace gaugevalve::settings {
namespace {

KeyCondition Lease() { return {std::string(kCoordinatorLeaseKey), ModRevision(7)}; }

class CapabilityKeeperTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CapabilityKeeperTest);
  CPPUNIT_TEST(WritesTheFirstAtOnce);
  CPPUNIT_TEST(DoesNothingWithoutTheLease);
  CPPUNIT_TEST(LowersAtOnceAndRaisesLater);
  CPPUNIT_TEST(StoredValueIsReadBeforeItIsRaised);
  CPPUNIT_TEST(LostAnswerIsSettledByAnotherWrite);
  CPPUNIT_TEST(FailedLeaseConditionEndsIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    keeper_ = CapabilityKeeper();
    now_ = base::TimePoint{} + std::chrono::hours(1);
  }

 private:
  // Returns the value that the keeper wants to write, or nothing.
  std::optional<std::uint32_t> Write(std::uint32_t least) {
    const std::optional<StoreTransaction> transaction = keeper_.Tick(least, now_);
    if (!transaction) {
      return std::nullopt;
    }
    CPPUNIT_ASSERT(transaction->conditions.front() == Lease());
    compared_ = transaction->conditions.back().mod_revision.value();
    return ParseCapabilities(transaction->writes.front().value).schema_version;
  }

  void Succeed() { keeper_.OnAnswer({true, {}}, now_); }

  void Fail(std::uint32_t stored, std::uint64_t mod_revision) {
    keeper_.OnAnswer({false,
                      {{std::string(kCapabilitiesKey), FormatCapabilities({stored}),
                        ModRevision(mod_revision)}}},
                     now_);
  }

  void Start(std::uint32_t least) {
    keeper_.OnLeaseHeld(Lease());
    CPPUNIT_ASSERT(Write(least) == least);
    Succeed();
  }

  void WritesTheFirstAtOnce() {
    Start(3);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, compared_);
    CPPUNIT_ASSERT(keeper_.Bound() == 3U);
    CPPUNIT_ASSERT(!Write(3));
  }

  void DoesNothingWithoutTheLease() {
    CPPUNIT_ASSERT(!Write(3));
    Start(3);
    keeper_.OnLeaseLost();
    CPPUNIT_ASSERT(!Write(1) && !keeper_.Bound());
  }

  void LowersAtOnceAndRaisesLater() {
    Start(3);
    CPPUNIT_ASSERT(Write(2) == 2U);
    CPPUNIT_ASSERT(keeper_.Bound() == 3U);  // until the store has it
    CPPUNIT_ASSERT(!Write(2));              // one at a time
    Succeed();
    CPPUNIT_ASSERT(keeper_.Bound() == 2U);
    CPPUNIT_ASSERT(!Write(3));
    CPPUNIT_ASSERT(keeper_.Bound() == 3U);  // a newcomer must understand what is to come
    now_ += std::chrono::seconds(59);
    CPPUNIT_ASSERT(!Write(3));
    CPPUNIT_ASSERT(!Write(2) && keeper_.Bound() == 2U);  // an old balancer is back
    now_ += std::chrono::seconds(59);
    CPPUNIT_ASSERT(!Write(3));
    now_ += std::chrono::minutes(1);
    CPPUNIT_ASSERT(Write(3) == 3U);
  }

  void StoredValueIsReadBeforeItIsRaised() {
    keeper_.OnLeaseHeld(Lease());
    CPPUNIT_ASSERT(Write(3) == 3U);
    CPPUNIT_ASSERT(!keeper_.Bound());
    Fail(1, 20);
    CPPUNIT_ASSERT(!keeper_.Bound());
    CPPUNIT_ASSERT(Write(3) == 1U);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, compared_);
    Succeed();
    CPPUNIT_ASSERT(!Write(3) && keeper_.Bound() == 3U);
  }

  void LostAnswerIsSettledByAnotherWrite() {
    Start(3);
    CPPUNIT_ASSERT(Write(2) == 2U);
    keeper_.OnAnswerLost(now_);
    CPPUNIT_ASSERT(!keeper_.Bound());
    CPPUNIT_ASSERT(!Write(3));
    now_ += std::chrono::seconds(2);
    CPPUNIT_ASSERT(Write(3) == 3U);  // though that is what was stored
    Fail(2, 30);
    CPPUNIT_ASSERT(Write(3) == 2U);
    Succeed();
    CPPUNIT_ASSERT(keeper_.Bound().has_value());
  }

  void FailedLeaseConditionEndsIt() {
    keeper_.OnLeaseHeld(Lease());
    CPPUNIT_ASSERT(Write(3));
    Fail(3, 20);
    CPPUNIT_ASSERT(Write(3));
    Fail(3, 20);  // the key is as compared, so the lease isn't
    CPPUNIT_ASSERT(!Write(1) && !keeper_.Bound());
  }

  CapabilityKeeper keeper_;
  base::TimePoint now_;
  std::uint64_t compared_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapabilityKeeperTest);

}  // namespace
}  // namespace gaugevalve::settings
