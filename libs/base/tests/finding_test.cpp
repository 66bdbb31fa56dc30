#include "gaugevalve/base/finding.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::base {
namespace {

class FindingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FindingTest);
  CPPUNIT_TEST(NamesTheWholePlace);
  CPPUNIT_TEST(LeavesOutWhatIsNotKnown);
  CPPUNIT_TEST(ErrorCarriesEveryFinding);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NamesTheWholePlace() {
    const Finding finding{{"tree.yaml", 3, 5, "services.stock"}, "unknown key 'slotz'"};
    CPPUNIT_ASSERT_EQUAL(std::string("tree.yaml:3:5: services.stock: unknown key 'slotz'"),
                         finding.ToString());
  }

  void LeavesOutWhatIsNotKnown() {
    const Finding finding{{"--settings", 0, 0, ""}, "no such file"};
    CPPUNIT_ASSERT_EQUAL(std::string("--settings: no such file"), finding.ToString());
  }

  void ErrorCarriesEveryFinding() {
    const FindingsError error({{{"a", 0, 0, ""}, "first"}, {{"b", 0, 0, ""}, "second"}});
    CPPUNIT_ASSERT_EQUAL(std::string("a: first\nb: second\n"), std::string(error.what()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FindingTest);

}  // namespace
}  // namespace gaugevalve::base
