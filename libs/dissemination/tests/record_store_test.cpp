#include "gaugevalve/dissemination/record_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/dissemination/value_codec.h"

namespace gaugevalve::dissemination {
namespace {

constexpr RecordKey kKey{4, 17};

class RecordStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordStoreTest);
  CPPUNIT_TEST(OlderAndEqualVersionsAreRejected);
  CPPUNIT_TEST(EqualVersionsAreOrderedByDigest);
  CPPUNIT_TEST(DigestDependsOnContentsOnly);
  CPPUNIT_TEST(SmallChangeMakesSmallPatch);
  CPPUNIT_TEST(LimitsAreEnforced);
  CPPUNIT_TEST_SUITE_END();

  void OlderAndEqualVersionsAreRejected() {
    RecordStore store({});
    CPPUNIT_ASSERT(store.Put(kKey, {5, 1}, "five", {}) == PutResult::kStored);
    CPPUNIT_ASSERT(store.Put(kKey, {5, 1}, "five", {}) == PutResult::kNotNewer);
    CPPUNIT_ASSERT(store.Put(kKey, {4, 9}, "four", {}) == PutResult::kNotNewer);
    CPPUNIT_ASSERT_EQUAL(std::string("five"), *store.Find(kKey)->value);
    CPPUNIT_ASSERT(store.Put(kKey, {5, 2}, "newer", {}) == PutResult::kStored);
    CPPUNIT_ASSERT_EQUAL(std::string("newer"), *store.Find(kKey)->value);
  }

  void EqualVersionsAreOrderedByDigest() {
    RecordStore first({});
    RecordStore second({});
    first.Put(kKey, {1, 1}, "one", {});
    first.Put(kKey, {1, 1}, "other", {});
    second.Put(kKey, {1, 1}, "other", {});
    second.Put(kKey, {1, 1}, "one", {});
    CPPUNIT_ASSERT_EQUAL(*first.Find(kKey)->value, *second.Find(kKey)->value);
  }

  void DigestDependsOnContentsOnly() {
    RecordStore first({});
    RecordStore second({});
    for (std::uint32_t scope = 0; scope < 500; ++scope) {
      first.Put({2, scope}, {1, 0}, "old", {});
      first.Put({2, scope}, {2, scope}, "value", {});
      second.Put({2, 499 - scope}, {2, 499 - scope}, "value", {});
    }
    CPPUNIT_ASSERT_EQUAL(first.Digests().Root(), second.Digests().Root());
    second.Put({2, 3}, {3, 0}, "value", {});
    CPPUNIT_ASSERT(first.Digests().Root() != second.Digests().Root());
  }

  void SmallChangeMakesSmallPatch() {
    std::string value;
    for (int line = 0; line < 300; ++line) {
      value += "endpoint " + std::to_string(line * 7919 % 1000) + ": serving\n";
    }
    RecordStore store({});
    store.Publish(kKey, {1, 0}, value);
    std::string changed = value;
    changed.replace(1000, 7, "drained");
    store.Publish(kKey, {2, 0}, changed);
    const Record& record = *store.Find(kKey);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, record.patches.size());
    CPPUNIT_ASSERT(record.patches[0].data.size() < 100);
    CPPUNIT_ASSERT(ApplyPatch(value, record.patches[0].data, 1U << 20U) == changed);
    CPPUNIT_ASSERT(!ApplyPatch(value, record.patches[0].data, 100).has_value());
    CPPUNIT_ASSERT(DecompressValue(CompressValue(value), 1U << 20U) == value);
    CPPUNIT_ASSERT(!DecompressValue("no frame", 1U << 20U).has_value());
  }

  void LimitsAreEnforced() {
    RecordStoreLimits limits;
    limits.max_records = 2;
    limits.max_value_bytes = 10;
    limits.max_total_bytes = 15;
    RecordStore store(limits);
    CPPUNIT_ASSERT(store.Put({1, 1}, {1, 0}, std::string(11, 'x'), {}) == PutResult::kFull);
    CPPUNIT_ASSERT(store.Put({1, 1}, {1, 0}, std::string(10, 'x'), {}) == PutResult::kStored);
    CPPUNIT_ASSERT(store.Put({1, 2}, {1, 0}, std::string(6, 'x'), {}) == PutResult::kFull);
    CPPUNIT_ASSERT(store.Put({1, 2}, {1, 0}, std::string(5, 'x'), {}) == PutResult::kStored);
    CPPUNIT_ASSERT(store.Put({1, 3}, {1, 0}, "", {}) == PutResult::kFull);
    CPPUNIT_ASSERT(store.Put({1, 1}, {2, 0}, std::string(9, 'y'), {}) == PutResult::kStored);
    CPPUNIT_ASSERT_EQUAL(std::size_t{14}, store.TotalBytes());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordStoreTest);

}  // namespace
}  // namespace gaugevalve::dissemination
