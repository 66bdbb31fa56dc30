#include "flow_ledger.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

namespace gaugevalve::standins {
namespace {

class FlowLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowLedgerTest);
  CPPUNIT_TEST(RequestsOfAFlowAreOneFlow);
  CPPUNIT_TEST(ForeignRequestsAreCountedApart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestsOfAFlowAreOneFlow() {
    FlowLedger ledger("stock");
    ledger.Record({"stock", 5, 1});
    ledger.Record({"stock", 5, 2});
    ledger.Record({"stock", 6, 1});
    const nlohmann::json json = ledger.ToJson();
    CPPUNIT_ASSERT_EQUAL(3, json["requests"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, json["flows"].size());
    CPPUNIT_ASSERT_EQUAL(0, json["foreign"].get<int>());
  }

  void ForeignRequestsAreCountedApart() {
    FlowLedger ledger("stock");
    ledger.Record({"drawings", 5, 1});
    const nlohmann::json json = ledger.ToJson();
    CPPUNIT_ASSERT_EQUAL(1, json["foreign"].get<int>());
    CPPUNIT_ASSERT(json["flows"].empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowLedgerTest);

}  // namespace
}  // namespace gaugevalve::standins
