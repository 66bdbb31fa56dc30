#include "gaugevalve/base/rate_budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::base {
namespace {

TimePoint At(std::int64_t milliseconds) {
  return TimePoint(std::chrono::milliseconds(milliseconds));
}

class RateBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RateBudgetTest);
  CPPUNIT_TEST(SoManyAreAllowedInEachPeriod);
  CPPUNIT_TEST(WhatCostsMoreThanAPeriodIsAllowedOnceInIt);
  CPPUNIT_TEST(UnusedUnitsAreNotKept);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SoManyAreAllowedInEachPeriod() {
    CPPUNIT_ASSERT(m_budget.Take(At(0)));
    CPPUNIT_ASSERT(m_budget.Take(At(10), 2));
    CPPUNIT_ASSERT(!m_budget.Take(At(99)));
    CPPUNIT_ASSERT(m_budget.Take(At(100), 3));
    CPPUNIT_ASSERT(!m_budget.Take(At(100)));
  }

  void WhatCostsMoreThanAPeriodIsAllowedOnceInIt() {
    CPPUNIT_ASSERT(m_budget.Take(At(0), 50));
    CPPUNIT_ASSERT(!m_budget.Take(At(50), 50));
    CPPUNIT_ASSERT(!m_budget.Take(At(50)));
    CPPUNIT_ASSERT(m_budget.Take(At(100)));
    CPPUNIT_ASSERT(!m_budget.Take(At(101), 50));
  }

  void UnusedUnitsAreNotKept() {
    CPPUNIT_ASSERT(m_budget.Take(At(10'000), 3));
    CPPUNIT_ASSERT(!m_budget.Take(At(10'001)));
  }

 private:
  RateBudget m_budget{3, std::chrono::milliseconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateBudgetTest);

}  // namespace
}  // namespace gaugevalve::base
