#include "gaugevalve/transport/token_bucket.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::transport {
namespace {

class TokenBucketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TokenBucketTest);
  CPPUNIT_TEST(GrantsTheBurstThenTheRate);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GrantsTheBurstThenTheRate() {
    TokenBucket bucket(1000, 500);
    base::TimePoint now{};
    CPPUNIT_ASSERT(bucket.TryTake(500, now));
    CPPUNIT_ASSERT(!bucket.TryTake(1, now));
    now += std::chrono::milliseconds(100);
    CPPUNIT_ASSERT(!bucket.TryTake(101, now));
    CPPUNIT_ASSERT(bucket.TryTake(100, now));
    now += std::chrono::hours(1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{500}, bucket.Available(now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenBucketTest);

}  // namespace
}  // namespace gaugevalve::transport
