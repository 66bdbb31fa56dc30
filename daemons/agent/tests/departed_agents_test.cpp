#include "departed_agents.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::agent {
namespace {

constexpr std::chrono::seconds kGrace{10};

class DepartedAgentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DepartedAgentsTest);
  CPPUNIT_TEST(OnlyAgentsThatWereSeenCanHaveLeft);
  CPPUNIT_TEST(AnAgentThatComesBackHasNotLeft);
  CPPUNIT_TEST(TheFirstToLeaveIsForgottenWhenFull);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<routing::AgentEntry> Agents(std::uint64_t first, std::uint64_t last) {
    std::vector<routing::AgentEntry> agents;
    for (std::uint64_t node = first; node <= last; ++node) {
      agents.push_back({base::NodeId(node), base::Incarnation(1), {}, ""});
    }
    return agents;
  }

  base::TimePoint now_{std::chrono::seconds(100)};
  DepartedAgents departed_;

 public:
  void OnlyAgentsThatWereSeenCanHaveLeft() {
    departed_.Update(Agents(1, 2), now_);
    departed_.Update(Agents(2, 2), now_);
    const base::TimePoint later = now_ + kGrace;
    CPPUNIT_ASSERT(departed_.HasLeft(base::NodeId(1), kGrace, later));
    CPPUNIT_ASSERT(!departed_.HasLeft(base::NodeId(1), kGrace, later - base::Duration(1)));
    CPPUNIT_ASSERT(!departed_.HasLeft(base::NodeId(2), kGrace, later));
    CPPUNIT_ASSERT(!departed_.HasLeft(base::NodeId(3), kGrace, later));
  }

  void AnAgentThatComesBackHasNotLeft() {
    departed_.Update(Agents(1, 2), now_);
    departed_.Update(Agents(2, 2), now_);
    departed_.Update(Agents(1, 2), now_ + kGrace);
    CPPUNIT_ASSERT(!departed_.HasLeft(base::NodeId(1), kGrace, now_ + 2 * kGrace));
    departed_.Update(Agents(2, 2), now_ + 2 * kGrace);
    CPPUNIT_ASSERT(!departed_.HasLeft(base::NodeId(1), kGrace, now_ + 2 * kGrace));
  }

  void TheFirstToLeaveIsForgottenWhenFull() {
    constexpr std::uint64_t kLast = DepartedAgents::kCapacity + 1;
    for (std::uint64_t node = 1; node <= kLast + 1; ++node) {
      departed_.Update(Agents(node, node), now_ + base::Duration(node));
    }
    const base::TimePoint later = now_ + 2 * kGrace;
    CPPUNIT_ASSERT(!departed_.HasLeft(base::NodeId(1), kGrace, later));
    CPPUNIT_ASSERT(departed_.HasLeft(base::NodeId(2), kGrace, later));
    CPPUNIT_ASSERT(departed_.HasLeft(base::NodeId(kLast), kGrace, later));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartedAgentsTest);

}  // namespace
}  // namespace gaugevalve::agent
