#include "mvcc_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/base/clock.h"

namespace gaugevalve::standins {
namespace {

class MvccStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MvccStoreTest);
  CPPUNIT_TEST(CountsRevisionsAndVersions);
  CPPUNIT_TEST(ReadsOlderRevisionsUntilTheyAreCompacted);
  CPPUNIT_TEST(ShowsOnlyWhatWasWrittenSince);
  CPPUNIT_TEST(TransactionIsOneRevision);
  CPPUNIT_TEST(RefusedTransactionChangesNothing);
  CPPUNIT_TEST(LeaseTakesItsKeysWithIt);
  CPPUNIT_TEST(RenewedLeaseStays);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CountsRevisionsAndVersions() {
    Put("a", "1");
    Put("b", "1");
    Put("a", "2");
    const store::KeyValue expected{"a", "2", base::Revision{2}, base::Revision{4}, 2, {}};
    CPPUNIT_ASSERT(Read("a").key_values.at(0) == expected);
    Apply(store::DeleteRangeRequest{"a", ""});
    CPPUNIT_ASSERT(Read("a").key_values.empty());
    Put("a", "3");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, Read("a").key_values.at(0).version);
    CPPUNIT_ASSERT_EQUAL(base::Revision{6}, Read("a").key_values.at(0).create_revision);
  }

  void ReadsOlderRevisionsUntilTheyAreCompacted() {
    Put("a", "1");
    Put("a", "2");
    Put("a", "3");
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Read("a", 2).key_values.at(0).value);
    store_.Compact(base::Revision{3});
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Read("a", 3).key_values.at(0).value);
    CPPUNIT_ASSERT_THROW(Read("a", 2), StoreError);
    CPPUNIT_ASSERT_THROW(store_.ChangesSince(base::Revision{2}), StoreError);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store_.ChangesSince(base::Revision{3}).size());
  }

  void ShowsOnlyWhatWasWrittenSince() {
    Put("a", "1");
    Put("b", "1");
    store::RangeRequest request{.key = "a", .range_end = "z"};
    request.keys_only = true;
    request.min_mod_revision = base::Revision{3};
    const auto response = std::get<store::RangeResponse>(Apply(request));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, response.count);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, response.key_values.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), response.key_values[0].key);
    CPPUNIT_ASSERT_EQUAL(std::string(), response.key_values[0].value);
  }

  void TransactionIsOneRevision() {
    store::TxnRequest txn;
    txn.success.emplace_back(store::PutRequest{"a", "1", {}});
    txn.success.emplace_back(store::PutRequest{"b", "1", {}});
    txn.success.emplace_back(store::RangeRequest{.key = "a"});
    const auto response = std::get<store::TxnResponse>(Apply(txn));
    CPPUNIT_ASSERT_EQUAL(base::Revision{2}, response.revision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store_.ChangesSince({}).at(0).events.size());
    const auto& read = std::get<store::RangeResponse>(response.responses.at(2));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), read.key_values.at(0).value);
  }

  void RefusedTransactionChangesNothing() {
    store::TxnRequest txn;
    txn.success.emplace_back(store::PutRequest{"a", "1", {}});
    txn.success.emplace_back(store::PutRequest{"b", "1", store::LeaseId{99}});
    CPPUNIT_ASSERT_THROW(Apply(txn), StoreError);
    Put("c", "1");
    CPPUNIT_ASSERT(Read("a").key_values.empty());
    CPPUNIT_ASSERT_EQUAL(base::Revision{2}, store_.CurrentRevision());
  }

  void LeaseTakesItsKeysWithIt() {
    const store::LeaseId lease = Grant();
    Apply(store::PutRequest{"a", "1", lease});
    Apply(store::PutRequest{"b", "1", lease});
    Put("b", "no longer leased");
    clock_.Advance(std::chrono::seconds(10));
    store_.ExpireLeases(clock_.Now());
    CPPUNIT_ASSERT(Read("a").key_values.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Read("b").key_values.size());
  }

  void RenewedLeaseStays() {
    const store::LeaseId lease = Grant();
    clock_.Advance(std::chrono::seconds(9));
    Apply(store::LeaseKeepAliveRequest{lease});
    clock_.Advance(std::chrono::seconds(9));
    store_.ExpireLeases(clock_.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.Leases().size());
  }

 private:
  store::Response Apply(const store::Request& request) {
    return store_.Apply(request, clock_.Now());
  }

  void Put(const std::string& key, const std::string& value) {
    Apply(store::PutRequest{key, value, store::LeaseId{}});
  }

  store::RangeResponse Read(const std::string& key, std::uint64_t revision = 0) {
    store::RangeRequest request{.key = key};
    request.revision = base::Revision{revision};
    return std::get<store::RangeResponse>(Apply(request));
  }

  store::LeaseId Grant() {
    const store::Response response =
        Apply(store::LeaseGrantRequest{store::LeaseId{}, std::chrono::seconds(10)});
    return std::get<store::LeaseGrantResponse>(response).id;
  }

  base::ManualClock clock_;
  MvccStore store_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MvccStoreTest);

}  // namespace
}  // namespace gaugevalve::standins
