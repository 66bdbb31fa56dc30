#include "linear_fit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::lab {
namespace {

class LinearFitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinearFitTest);
  CPPUNIT_TEST(FindsALineAndTheDistanceFromIt);
  CPPUNIT_TEST_SUITE_END();

  void FindsALineAndTheDistanceFromIt() {
    constexpr double kTolerance = 1e-9;
    const LinearFit exact = FitLine({{1, 5}, {2, 7}, {5, 13}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, exact.offset, kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, exact.slope, kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, exact.error, kTolerance);
    const LinearFit rough = FitLine({{0, 9}, {0, 11}, {2, 9}, {2, 11}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, rough.slope, kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, rough.error, kTolerance);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinearFitTest);

}  // namespace
}  // namespace gaugevalve::lab
