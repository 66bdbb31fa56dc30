#include "gaugevalve/requests/retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::requests {
namespace {

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(RetriesAreAShareOfFirstAttempts);
  CPPUNIT_TEST(BudgetIsCappedAtTheBurst);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RetriesAreAShareOfFirstAttempts() {
    RetryBudget budget(0.125, 100);
    int retries = 0;
    for (int request = 0; request < 800; ++request) {
      budget.OnFirstAttempt();
      retries += budget.TakeRetry() ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(100, retries);
  }

  void BudgetIsCappedAtTheBurst() {
    RetryBudget budget(0.5, 2);
    for (int request = 0; request < 1000; ++request) {
      budget.OnFirstAttempt();
    }
    CPPUNIT_ASSERT(budget.TakeRetry());
    CPPUNIT_ASSERT(budget.TakeRetry());
    CPPUNIT_ASSERT(!budget.TakeRetry());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

}  // namespace
}  // namespace gaugevalve::requests
