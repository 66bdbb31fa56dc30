#include "gaugevalve/placement/endpoint_gate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "placement_fixture.h"

namespace gaugevalve::placement {
namespace {

using std::chrono::milliseconds;
using testing::At;

Announcement Ready(const std::string& id, std::uint64_t sequence) {
  return {{id}, false, 4, milliseconds(0), sequence};
}

Announcement Draining(const std::string& id, std::uint64_t sequence) {
  return {{id}, true, 4, milliseconds(0), sequence};
}

class EndpointGateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointGateTest);
  CPPUNIT_TEST(NothingIsAdmittedBeforeTheEndpointIsHeard);
  CPPUNIT_TEST(ALateAnnouncementDoesNotReopenTheGate);
  CPPUNIT_TEST(DeregistrationWithoutDrainingCloses);
  CPPUNIT_TEST(AnotherIncarnationAtTheSameAddressIsAdmitted);
  CPPUNIT_TEST(ADrainingStrangerDoesNotCloseTheGate);
  CPPUNIT_TEST(MemoryIsUsedForALimitedTimeOnly);
  CPPUNIT_TEST(ARememberedLeaveIsKept);
  CPPUNIT_TEST(MemoryNeverOverridesWhatWasHeard);
  CPPUNIT_TEST(ASingleAnnouncementIsBelievedForALimitedTime);
  CPPUNIT_TEST(MissedAnnouncementsMakeItSilent);
  CPPUNIT_TEST(UnansweredOpeningsMakeItSilent);
  CPPUNIT_TEST(OneUnansweredOpeningMakesItSilent);
  CPPUNIT_TEST(ARefusedProbeMakesItAbsentUntilItSpeaks);
  CPPUNIT_TEST(AHealthyProbeAdmitsForALimitedTime);
  CPPUNIT_TEST(ProbesAreSpacedAndOnlyInDoubt);
  CPPUNIT_TEST(WarmUpRunsOut);
  CPPUNIT_TEST(ALateWordOfACrashedIncarnationIsNotBelieved);
  CPPUNIT_TEST(ALateDeregistrationOfACrashedIncarnationIsNotBelieved);
  CPPUNIT_TEST(SeveralLateWordsAtOnceAreNotBelieved);
  CPPUNIT_TEST(AnIncarnationThatWasFollowedNeverSpeaksAgain);
  CPPUNIT_TEST(AfterARestartTheLateWordMayComeFirst);
  CPPUNIT_TEST(AfterARestartTheLateWordMayComeSecond);
  CPPUNIT_TEST(ALateDrainOfAnOlderOneDoesNotReopenTheGate);
  CPPUNIT_TEST(ASuccessorTakesOverOnceThePresentOneIsSilent);
  CPPUNIT_TEST(ASuccessorTakesOverAtOnceWhereThePresentOneDoesNotAnswer);
  CPPUNIT_TEST(ASuccessorThatLeavesBeforeItIsBelievedClosesTheGate);
  CPPUNIT_TEST(WhatIsNotKnownMayBeCold);
  CPPUNIT_TEST(OnesThatAreOverAreRememberedBoundedly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingIsAdmittedBeforeTheEndpointIsHeard() {
    Expect(EndpointStanding::kUnknown, 0);
    m_gate.Announce(Ready("a", 1), At(10));
    Expect(EndpointStanding::kAdmitting, 10);
  }

  void ALateAnnouncementDoesNotReopenTheGate() {
    m_gate.Announce(Ready("a", 5), At(0));
    m_gate.Announce(Draining("a", 6), At(100));
    const AnnouncementOutcome outcome = m_gate.Announce(Ready("a", 4), At(200));
    CPPUNIT_ASSERT(outcome == AnnouncementOutcome::kLate);
    Expect(EndpointStanding::kLeaving, 200);
  }

  void DeregistrationWithoutDrainingCloses() {
    m_gate.Announce(Ready("a", 5), At(0));
    m_gate.Deregister({"a"}, At(100));
    Expect(EndpointStanding::kLeaving, 100);
    // Sent before the deregistration, but with a number that wasn't seen yet.
    m_gate.Announce(Ready("a", 6), At(900));
    Expect(EndpointStanding::kLeaving, 900);
  }

  void AnotherIncarnationAtTheSameAddressIsAdmitted() {
    m_gate.Announce(Ready("a", 9), At(0));
    m_gate.Deregister({"a"}, At(100));
    m_gate.Announce(Ready("b", 1), At(3000));
    Expect(EndpointStanding::kAdmitting, 3000);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), m_gate.Newest().incarnation.id);
  }

  void ADrainingStrangerDoesNotCloseTheGate() {
    m_gate.Announce(Ready("b", 1), At(0));
    m_gate.Announce(Draining("a", 30), At(10));
    Expect(EndpointStanding::kAdmitting, 10);
    m_gate.Deregister({"a"}, At(20));
    Expect(EndpointStanding::kAdmitting, 20);
  }

  void MemoryIsUsedForALimitedTimeOnly() {
    m_gate.Remember(Ready("a", 5), EndpointStanding::kAdmitting, At(0));
    Expect(EndpointStanding::kAdmitting, 2000);
    Expect(EndpointStanding::kUnknown, 2001);
  }

  void ARememberedLeaveIsKept() {
    m_gate.Remember(Ready("a", 5), EndpointStanding::kAdmitting, At(0));
    m_gate.Remember(Ready("a", 5), EndpointStanding::kLeaving, At(0));
    Expect(EndpointStanding::kLeaving, 100);
    m_gate.Announce(Ready("a", 6), At(200));
    Expect(EndpointStanding::kLeaving, 200);
  }

  void MemoryNeverOverridesWhatWasHeard() {
    m_gate.Announce(Draining("a", 5), At(0));
    m_gate.Remember(Ready("a", 9), EndpointStanding::kAdmitting, At(10));
    Expect(EndpointStanding::kLeaving, 10);
  }

  // Found by placement_proof: a restarted agent heard a late "ready" of an endpoint that had
  // deregistered at the agent's former life.
  void ASingleAnnouncementIsBelievedForALimitedTime() {
    m_gate.Announce(Ready("a", 8), At(0));
    Expect(EndpointStanding::kAdmitting, 2000);
    Expect(EndpointStanding::kUnknown, 2001);
    CPPUNIT_ASSERT(!m_gate.IsConfirmed());  // a balancer that remembers it would prolong its life
    m_gate.Announce(Ready("a", 9), At(2100));
    Expect(EndpointStanding::kAdmitting, 5000);
    CPPUNIT_ASSERT(m_gate.IsConfirmed());
  }

  void MissedAnnouncementsMakeItSilent() {
    m_gate.Announce(Ready("a", 1), At(0));
    m_gate.Announce(Ready("a", 2), At(0));
    Expect(EndpointStanding::kAdmitting, 6000);
    Expect(EndpointStanding::kSilent, 6001);
  }

  void UnansweredOpeningsMakeItSilent() {
    m_gate.Announce(Ready("a", 1), At(0));
    for (int count = 0; count < 4; ++count) {
      m_gate.NoteOpening(At(10));
    }
    Expect(EndpointStanding::kAdmitting, 100);
    Expect(EndpointStanding::kSilent, 200);
    m_gate.NoteActivity(true, At(200));
    Expect(EndpointStanding::kAdmitting, 200);
  }

  // In a large fleet openings come seconds apart, and each of them is a client's.
  void OneUnansweredOpeningMakesItSilent() {
    m_gate.Announce(Ready("a", 1), At(0));
    m_gate.Announce(Ready("a", 2), At(0));
    m_gate.NoteOpening(At(1000));
    Expect(EndpointStanding::kAdmitting, 1150);
    Expect(EndpointStanding::kSilent, 1151);
    CPPUNIT_ASSERT(m_gate.TakeProbe(At(1151)));  // a health check shows it well again, too
    m_gate.NoteProbe(ProbeResult::kHealthy, At(1160));
    Expect(EndpointStanding::kAdmitting, 1160);
  }

  void ARefusedProbeMakesItAbsentUntilItSpeaks() {
    m_gate.NoteProbe(ProbeResult::kRefused, At(0));
    Expect(EndpointStanding::kAbsent, 5000);
    m_gate.Announce(Ready("a", 1), At(5000));
    Expect(EndpointStanding::kAdmitting, 5000);
  }

  void AHealthyProbeAdmitsForALimitedTime() {
    m_gate.NoteProbe(ProbeResult::kHealthy, At(0));
    Expect(EndpointStanding::kAdmitting, 2000);
    Expect(EndpointStanding::kUnknown, 2001);
    m_gate.NoteProbe(ProbeResult::kUnhealthy, At(2001));
    Expect(EndpointStanding::kUnknown, 2001);
  }

  void ProbesAreSpacedAndOnlyInDoubt() {
    CPPUNIT_ASSERT(m_gate.TakeProbe(At(0)));
    CPPUNIT_ASSERT(!m_gate.TakeProbe(At(999)));
    CPPUNIT_ASSERT(m_gate.TakeProbe(At(1000)));
    m_gate.Announce(Ready("a", 1), At(1100));
    m_gate.Announce(Ready("a", 2), At(2100));
    CPPUNIT_ASSERT(!m_gate.TakeProbe(At(5000)));
  }

  // Its heartbeat was delayed by a cut; another incarnation stands at the address since.
  void ALateWordOfACrashedIncarnationIsNotBelieved() {
    HearTwice("b", 0);
    for (const std::uint64_t sequence : {1U, 50U}) {
      const AnnouncementOutcome outcome = m_gate.Announce(Ready("a", sequence), At(100));
      CPPUNIT_ASSERT(outcome == AnnouncementOutcome::kUnconfirmed);
      CPPUNIT_ASSERT_EQUAL(std::string("b"), m_gate.Newest().incarnation.id);
    }
    m_gate.Announce(Draining("b", 3), At(200));
    Expect(EndpointStanding::kLeaving, 200);
  }

  void ALateDeregistrationOfACrashedIncarnationIsNotBelieved() {
    HearTwice("b", 0);
    m_gate.Deregister({"a"}, At(100));
    Expect(EndpointStanding::kAdmitting, 100);
    CPPUNIT_ASSERT(m_gate.Announce(Ready("a", 9), At(110)) == AnnouncementOutcome::kLate);
  }

  void SeveralLateWordsAtOnceAreNotBelieved() {
    HearTwice("b", 0);
    for (std::uint64_t sequence = 40; sequence < 50; ++sequence) {
      m_gate.Announce(Ready("a", sequence), At(100));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("b"), m_gate.Newest().incarnation.id);
    m_gate.Announce(Ready("b", 3), At(1000));  // it lives
    m_gate.Announce(Ready("a", 50), At(1400));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), m_gate.Newest().incarnation.id);
  }

  void AnIncarnationThatWasFollowedNeverSpeaksAgain() {
    HearTwice("a", 0);
    m_gate.Announce(Ready("b", 1), At(3000));
    m_gate.Announce(Ready("b", 2), At(4000));
    m_gate.Announce(Ready("b", 3), At(5000));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), m_gate.Newest().incarnation.id);
    CPPUNIT_ASSERT(m_gate.Announce(Ready("a", 99), At(5100)) == AnnouncementOutcome::kLate);
    CPPUNIT_ASSERT(m_gate.Announce(Draining("a", 100), At(5200)) == AnnouncementOutcome::kLate);
    m_gate.Deregister({"a"}, At(5300));
    Expect(EndpointStanding::kAdmitting, 5300);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), m_gate.Newest().incarnation.id);
  }

  void AfterARestartTheLateWordMayComeFirst() {
    m_gate.Announce(Ready("a", 70), At(0));  // late
    m_gate.Announce(Ready("b", 1), At(300));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), m_gate.Newest().incarnation.id);
    m_gate.Announce(Ready("b", 2), At(1300));
    m_gate.Announce(Ready("b", 3), At(2300));
    CPPUNIT_ASSERT(m_gate.Announce(Ready("a", 71), At(2400)) == AnnouncementOutcome::kLate);
  }

  void AfterARestartTheLateWordMayComeSecond() {
    m_gate.Announce(Ready("b", 12), At(0));
    m_gate.Announce(Ready("a", 70), At(100));  // late; neither is certain yet
    m_gate.Announce(Ready("b", 13), At(1000));
    m_gate.Announce(Ready("b", 14), At(2000));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), m_gate.Newest().incarnation.id);
    m_gate.Announce(Ready("b", 15), At(3000));
    CPPUNIT_ASSERT(m_gate.Announce(Ready("a", 71), At(3100)) == AnnouncementOutcome::kLate);
    m_gate.Announce(Draining("b", 16), At(3200));
    Expect(EndpointStanding::kLeaving, 3200);
  }

  // The gate remembered only the last one that left.
  void ALateDrainOfAnOlderOneDoesNotReopenTheGate() {
    HearTwice("b", 0);
    m_gate.Deregister({"b"}, At(2000));
    m_gate.Announce(Draining("a", 60), At(2100));
    m_gate.Announce(Ready("b", 9), At(2200));  // sent before it deregistered
    Expect(EndpointStanding::kLeaving, 2200);
  }

  void ASuccessorTakesOverOnceThePresentOneIsSilent() {
    HearTwice("a", 0);
    m_gate.Announce(Ready("b", 1), At(1500));
    m_gate.Announce(Ready("b", 2), At(2500));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), m_gate.Newest().incarnation.id);
    Expect(EndpointStanding::kAdmitting, 2500);
    m_gate.Announce(Ready("b", 3), At(3500));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), m_gate.Newest().incarnation.id);
  }

  void ASuccessorTakesOverAtOnceWhereThePresentOneDoesNotAnswer() {
    HearTwice("a", 0);
    m_gate.NoteProbe(ProbeResult::kRefused, At(1100));
    m_gate.Announce(Ready("b", 1), At(1500));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), m_gate.Newest().incarnation.id);
    Expect(EndpointStanding::kAdmitting, 1500);
  }

  // The acknowledgement binds.
  void ASuccessorThatLeavesBeforeItIsBelievedClosesTheGate() {
    HearTwice("a", 0);
    m_gate.Announce(Ready("b", 1), At(1500));
    CPPUNIT_ASSERT(m_gate.Announce(Draining("b", 2), At(1800)) == AnnouncementOutcome::kTaken);
    Expect(EndpointStanding::kLeaving, 1800);
    HearTwice("c", 4000);
    m_gate.Announce(Ready("d", 1), At(5500));
    m_gate.Deregister({"d"}, At(5600));
    Expect(EndpointStanding::kLeaving, 5600);
  }

  void WhatIsNotKnownMayBeCold() {
    CPPUNIT_ASSERT(m_gate.MayBeCold(At(0)));
    HearTwice("a", 0);
    CPPUNIT_ASSERT(!m_gate.MayBeCold(At(1000)));
    m_gate.Announce(Ready("b", 1), At(1100));  // it may have taken its place
    CPPUNIT_ASSERT(m_gate.MayBeCold(At(1100)));
    m_gate.Announce(Ready("a", 3), At(2000));
    CPPUNIT_ASSERT(!m_gate.MayBeCold(At(2000)));
    m_gate.NoteProbe(ProbeResult::kRefused, At(2100));
    m_gate.NoteActivity(true, At(2200));  // another process may answer now
    CPPUNIT_ASSERT(m_gate.MayBeCold(At(2200)));
    m_gate.Announce({{"a"}, false, 4, milliseconds(500), 4}, At(3000));
    CPPUNIT_ASSERT(m_gate.MayBeCold(At(3400)));
    CPPUNIT_ASSERT(!m_gate.MayBeCold(At(3600)));
  }

  void OnesThatAreOverAreRememberedBoundedly() {
    for (int number = 0; number < 100; ++number) {
      m_gate.Deregister({"old-" + std::to_string(number)}, At(number));
    }
    CPPUNIT_ASSERT(m_gate.Announce(Ready("old-99", 1), At(200)) == AnnouncementOutcome::kLate);
    CPPUNIT_ASSERT(m_gate.Announce(Ready("old-50", 1), At(200)) == AnnouncementOutcome::kTaken);
  }

  void WarmUpRunsOut() {
    m_gate.Announce({{"a"}, false, 4, milliseconds(500), 1}, At(0));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{300'000}, std::int64_t{m_gate.WarmUpLeft(At(200)).count()});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, std::int64_t{m_gate.WarmUpLeft(At(600)).count()});
  }

 private:
  // Heard at `at` and a period later.
  void HearTwice(const std::string& id, std::int64_t at) {
    m_gate.Announce(Ready(id, 1), At(at));
    m_gate.Announce(Ready(id, 2), At(at + 1000));
  }

  void Expect(EndpointStanding standing, std::int64_t at) const {
    CPPUNIT_ASSERT_EQUAL(std::string(EndpointStandingName(standing)),
                         std::string(EndpointStandingName(m_gate.Standing(At(at)))));
  }

  EndpointGate m_gate{milliseconds(1000), milliseconds(2000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointGateTest);

}  // namespace
}  // namespace gaugevalve::placement
