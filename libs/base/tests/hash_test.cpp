#include "gaugevalve/base/hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/random_source.h"

namespace gaugevalve::base {
namespace {

class HashTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HashTest);
  CPPUNIT_TEST(NodeIdentifierIsTheSameInEveryRelease);
  CPPUNIT_TEST(OrderOfAPairMatters);
  CPPUNIT_TEST(BoundedRandomNumbersCoverTheRange);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Pinned to the published XXH3 test value: a change would split a deployment between releases.
  void NodeIdentifierIsTheSameInEveryRelease() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x2D06800538D394C2}, HashText(""));
    CPPUNIT_ASSERT(MakeNodeId("balancer-1") == MakeNodeId("balancer-1"));
    CPPUNIT_ASSERT(MakeNodeId("balancer-1") != MakeNodeId("balancer-2"));
  }

  void OrderOfAPairMatters() { CPPUNIT_ASSERT(HashPair(1, 2) != HashPair(2, 1)); }

  void BoundedRandomNumbersCoverTheRange() {
    RandomSource random(7);
    bool seen[3] = {};
    for (int draw = 0; draw < 100; ++draw) {
      seen[random.NextBelow(3)] = true;
    }
    CPPUNIT_ASSERT(seen[0] && seen[1] && seen[2]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HashTest);

}  // namespace
}  // namespace gaugevalve::base
