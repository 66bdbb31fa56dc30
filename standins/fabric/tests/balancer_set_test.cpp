#include "balancer_set.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::standins {
namespace {

constexpr std::uint64_t kSeed = 7;

base::SocketAddress Address(std::uint16_t port) {
  return base::SocketAddress::Ipv4(0x7F000001, port);
}

class BalancerSetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BalancerSetTest);
  CPPUNIT_TEST(EveryBalancerGetsItsShare);
  CPPUNIT_TEST(ACutBalancersShareIsLost);
  CPPUNIT_TEST(WrongChangesAreRefusedWhole);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryBalancerGetsItsShare() {
    BalancerSet balancers({Address(1), Address(2), Address(3)}, kSeed);
    std::map<std::uint16_t, int> chosen;
    for (int trial = 0; trial < 3000; ++trial) {
      ++chosen[balancers.Choose().value().port];
    }
    for (const std::uint16_t port : {1, 2, 3}) {
      CPPUNIT_ASSERT(chosen[port] > 850 && chosen[port] < 1150);
    }
  }

  void ACutBalancersShareIsLost() {
    BalancerSet balancers({Address(1), Address(2)}, kSeed);
    balancers.ChangeFromJson(R"({"cut": ["127.0.0.1:2"]})");
    int lost = 0;
    for (int trial = 0; trial < 1000; ++trial) {
      const auto choice = balancers.Choose();
      lost += choice ? 0 : 1;
      CPPUNIT_ASSERT(!choice || choice->port == 1);
    }
    CPPUNIT_ASSERT(lost > 400 && lost < 600);
    balancers.ChangeFromJson(R"({"balancers": [], "cut": []})");
    CPPUNIT_ASSERT(!balancers.Choose());
  }

  void WrongChangesAreRefusedWhole() {
    BalancerSet balancers({Address(1)}, kSeed);
    const std::string before = balancers.ToJson();
    for (const char* text : {R"({"balancers": ["x"]})", R"({"cut": ["127.0.0.1:9"]})",
                             R"({"balancers": ["127.0.0.1:5"], "other": 1})"}) {
      CPPUNIT_ASSERT_THROW(balancers.ChangeFromJson(text), base::FindingsError);
      CPPUNIT_ASSERT_EQUAL(before, balancers.ToJson());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BalancerSetTest);

}  // namespace
}  // namespace gaugevalve::standins
