#include "gaugevalve/placement/store_reader_role.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "gaugevalve/placement/duty_rank.h"
#include "placement_fixture.h"

namespace gaugevalve::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::At;
using testing::Node;

constexpr base::Duration kChangeLimit = seconds(6);

class StoreReaderRoleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreReaderRoleTest);
  CPPUNIT_TEST(ANewBalancerReadsOnceAndThenWaits);
  CPPUNIT_TEST(TheNumberOfReadersDoesNotGrowWithTheDeployment);
  CPPUNIT_TEST(AllBalancersWatchInASmallDeployment);
  CPPUNIT_TEST(EveryBalancerReadsInTimeWithoutAContact);
  CPPUNIT_TEST(FewBalancersTakeOverAtOnce);
  CPPUNIT_TEST(ANewerContactEndsATakeOver);
  CPPUNIT_TEST(ARejectedReaderBacksOffWhileOthersReachTheStore);
  CPPUNIT_TEST(AStoreThatRejectsAllIsCalledAtABoundedRate);
  CPPUNIT_TEST(EveryBalancerCallsASilentStoreWithinTheLimit);
  CPPUNIT_TEST(AContactIsGossipedOnce);
  CPPUNIT_TEST(AContactAgeGrowsWhileItCirculates);
  CPPUNIT_TEST(RanksDifferBetweenDuties);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ANewBalancerReadsOnceAndThenWaits() {
    StoreReaderRole& role = MakeRoles(1).front();
    CPPUNIT_ASSERT(role.ShouldRead({}, At(0)));
    role.NoteContact(At(5));
    CPPUNIT_ASSERT(!role.ShouldRead({}, At(10)));  // its peers are unknown
    CPPUNIT_ASSERT(role.ShouldRead({}, At(600)));
  }

  void TheNumberOfReadersDoesNotGrowWithTheDeployment() {
    for (const std::uint32_t balancers : {4U, 30U, 91U, 660U}) {
      std::vector<StoreReaderRole>& roles = MakeRoles(balancers);
      Hear(roles, 1'000);
      CPPUNIT_ASSERT_EQUAL(StoreReaderRole::kReaders, Reading(roles, 1'100));
    }
  }

  void AllBalancersWatchInASmallDeployment() {
    std::vector<StoreReaderRole>& roles = MakeRoles(3);
    Hear(roles, 1'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Reading(roles, 1'100));
  }

  // Covers the loss of all readers: they are stopped, partitioned or rejected by the store.
  void EveryBalancerReadsInTimeWithoutAContact() {
    for (const std::uint32_t balancers : {4U, 91U, 660U}) {
      std::vector<StoreReaderRole>& roles = MakeRoles(balancers);
      Hear(roles, 1'000);
      CPPUNIT_ASSERT(Reading(roles, 1'000 + 3'000) <= StoreReaderRole::kReaders);
      const int latest = 1'000 + 5'200;  // 60% and 25% of the limit
      for (int time = 1'000; time < latest; time += 50) {
        Reading(roles, time);
      }
      CPPUNIT_ASSERT_EQUAL(roles.size(), Reading(roles, latest));
    }
  }

  void FewBalancersTakeOverAtOnce() {
    std::vector<StoreReaderRole>& roles = MakeRoles(91);
    Hear(roles, 1'000);
    std::size_t reading = 0;
    int time = 1'000 + 3'600;
    while (reading == 0) {
      time += 10;
      reading = Reading(roles, time);
    }
    CPPUNIT_ASSERT(time < 1'000 + 3'600 + 250);
    CPPUNIT_ASSERT(reading <= 3);
  }

  void ANewerContactEndsATakeOver() {
    std::vector<StoreReaderRole>& roles = MakeRoles(91);
    Hear(roles, 1'000);
    for (int time = 4'600; time < 7'000; time += 50) {
      Reading(roles, time);
    }
    for (StoreReaderRole& role : roles) {
      role.NotePeer(milliseconds(100), At(7'000));
    }
    CPPUNIT_ASSERT_EQUAL(StoreReaderRole::kReaders, Reading(roles, 7'000));
  }

  void ARejectedReaderBacksOffWhileOthersReachTheStore() {
    std::vector<StoreReaderRole>& roles = MakeRoles(91);
    Hear(roles, 1'000);
    const std::size_t reader = FirstReader(roles, 1'100);
    roles[reader].NoteFailure(Others(reader), At(1'100));
    CPPUNIT_ASSERT(!roles[reader].ShouldRead(Others(reader), At(2'000)));
    roles[reader].NotePeer(milliseconds(0), At(6'000));
    CPPUNIT_ASSERT(!roles[reader].ShouldRead(Others(reader), At(6'000)));
    CPPUNIT_ASSERT(roles[reader].ShouldRead(Others(reader), At(6'200)));
  }

  void AStoreThatRejectsAllIsCalledAtABoundedRate() {
    std::vector<StoreReaderRole>& roles = MakeRoles(91);
    Hear(roles, 1'000);
    int calls = 0;
    for (int time = 1'000; time < 31'000; time += 50) {
      for (std::size_t index = 0; index < roles.size(); ++index) {
        if (roles[index].ShouldRead(Others(index), At(time))) {
          ++calls;
          roles[index].NoteFailure(Others(index), At(time));
        }
      }
    }
    CPPUNIT_ASSERT(calls < 30 * 30);  // at most 30 calls a second for 30 s
    CPPUNIT_ASSERT(calls > 30 * 5);
  }

  // Guards against pauses that grow with the deployment beyond the time in which a change has to be
  // in force: a balancer that no peer reaches noticed the store's return too late.
  void EveryBalancerCallsASilentStoreWithinTheLimit() {
    for (const std::uint32_t balancers : {4U, 91U, 660U}) {
      std::vector<StoreReaderRole>& roles = MakeRoles(balancers);
      Hear(roles, 1'000);
      for (std::size_t index = 0; index < roles.size(); ++index) {
        roles[index].NoteFailure(Others(index), At(10'000));
        CPPUNIT_ASSERT(roles[index].ShouldRead(Others(index), At(10'000) + kChangeLimit));
      }
    }
  }

  void AContactIsGossipedOnce() {
    StoreReaderRole& role = MakeRoles(1).front();
    CPPUNIT_ASSERT(!role.TakeContactUpdate());
    role.NoteContact(At(1'000));
    CPPUNIT_ASSERT(role.TakeContactUpdate());
    CPPUNIT_ASSERT(!role.TakeContactUpdate());
    role.NotePeer(milliseconds(0), At(1'200));  // not newer by kContactUpdatePercent
    CPPUNIT_ASSERT(!role.TakeContactUpdate());
    role.NotePeer(milliseconds(100), At(2'900));
    CPPUNIT_ASSERT(role.TakeContactUpdate());
    CPPUNIT_ASSERT(milliseconds(400) == *role.Age(At(3'000)));
  }

  // Each greeting waits for 100 ms at its receiver. Without kHopAllowance the age of a contact that
  // two balancers send back and forth would never grow.
  void AContactAgeGrowsWhileItCirculates() {
    std::vector<StoreReaderRole>& roles = MakeRoles(2);
    roles[0].NoteContact(At(0));
    for (int time = 0; time < 10'000; time += 100) {
      StoreReaderRole& from = roles[time / 100 % 2];
      StoreReaderRole& to = roles[(time / 100 + 1) % 2];
      to.NotePeer(*from.Age(At(time)), At(time + 100));
    }
    CPPUNIT_ASSERT(*roles[0].Age(At(10'000)) >= seconds(10));
    CPPUNIT_ASSERT(*roles[1].Age(At(10'000)) >= seconds(10));
  }

  void RanksDifferBetweenDuties() {
    MakeRoles(91);
    std::size_t same = 0;
    for (std::size_t index = 0; index < m_balancers.size(); ++index) {
      const bool first = DutyRank("one", Node(NumberOf(index)), Others(index)) < 10;
      const bool second = DutyRank("other", Node(NumberOf(index)), Others(index)) < 10;
      same += first && second ? 1 : 0;
    }
    CPPUNIT_ASSERT(same < 6);
  }

 private:
  static std::uint32_t NumberOf(std::size_t index) { return static_cast<std::uint32_t>(index) + 1; }

  std::vector<StoreReaderRole>& MakeRoles(std::uint32_t count) {
    m_roles.clear();
    m_balancers.clear();
    m_roles.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
      m_roles.emplace_back(Node(NumberOf(index)), StoreReaderSettings{kChangeLimit}, m_random,
                           At(0));
      m_balancers.push_back({Node(NumberOf(index)), base::Duration(0)});
    }
    return m_roles;
  }

  std::vector<BalancerAge> Others(std::size_t index) const {
    std::vector<BalancerAge> others = m_balancers;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
    return others;
  }

  static void Hear(std::vector<StoreReaderRole>& roles, int time) {
    for (StoreReaderRole& role : roles) {
      role.NoteContact(At(time));
    }
  }

  // Returns the number of balancers that are to call the store.
  std::size_t Reading(std::vector<StoreReaderRole>& roles, int time) {
    std::size_t reading = 0;
    for (std::size_t index = 0; index < roles.size(); ++index) {
      reading += roles[index].ShouldRead(Others(index), At(time)) ? 1 : 0;
    }
    return reading;
  }

  std::size_t FirstReader(std::vector<StoreReaderRole>& roles, int time) {
    std::size_t index = 0;
    while (!roles[index].ShouldRead(Others(index), At(time))) {
      ++index;
    }
    return index;
  }

  base::RandomSource m_random{11};
  std::vector<StoreReaderRole> m_roles;
  std::vector<BalancerAge> m_balancers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReaderRoleTest);

}  // namespace
}  // namespace gaugevalve::placement
