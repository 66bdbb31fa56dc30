// Tests when balancers call a store that falls silent, returns, or is slow, in simulated time.
#include "gaugevalve/placement/store_call_scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "placement_fixture.h"

namespace gaugevalve::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::At;
using testing::Node;

constexpr base::Duration kStep = milliseconds(10);
constexpr base::Duration kUsualLatency = milliseconds(4);
// Part of each limit that is left for passing a configuration on to all balancers.
constexpr base::Duration kDistribution = StoreReaderRole::kHopAllowance;
constexpr std::size_t kMaxReadsInProgress = 8;

struct Limits {
  base::Duration change;   // from a change to its being in force everywhere
  base::Duration contact;  // from the store's return to that
};

constexpr Limits kShortLimits{seconds(3), seconds(4)};
constexpr Limits kLongLimits{seconds(6), seconds(8)};

// Balancers with the decision cores of the product, and a store. A call that is made or in progress
// while the store is silent is never answered. Balancers learn at once what another one has read.
class StoreDeployment {
 public:
  StoreDeployment(std::size_t balancers, Limits limits, std::uint64_t seed) : m_random(seed) {
    for (std::size_t index = 0; index < balancers; ++index) {
      m_balancers.push_back(std::make_unique<Balancer>());
      Balancer& balancer = *m_balancers.back();
      balancer.role = std::make_unique<StoreReaderRole>(
          Address(index), StoreReaderSettings{limits.change}, m_random, m_now);
      balancer.scheduler = std::make_unique<StoreCallScheduler>(
          StoreCallSettings{milliseconds(700), limits.contact}, *balancer.role,
          [this, index] { return Others(index); }, m_random);
    }
    for (const auto& balancer : m_balancers) {
      balancer->scheduler->Start(m_now);
      Execute(*balancer);
    }
  }

  void RunFor(base::Duration time) {
    for (const base::TimePoint end = m_now + time; m_now < end;) {
      m_now += kStep;
      for (const auto& balancer : m_balancers) {
        Run(*balancer);
      }
    }
  }

  void FallSilent() {
    m_is_silent = true;
    for (const auto& balancer : m_balancers) {
      for (auto& [id, call] : balancer->calls) {
        call.is_lost = true;
      }
    }
  }

  void Return() { m_is_silent = false; }
  void SetLatency(base::Duration latency) { m_latency = latency; }
  void Change() { ++m_version; }

  // Returns how long it takes from now until all balancers have the newest version, or the limit.
  base::Duration TimeUntilInForce(base::Duration limit) {
    const base::TimePoint begin = m_now;
    while (m_now - begin < limit && !IsInForce()) {
      RunFor(kStep);
    }
    return m_now - begin;
  }

  bool IsInForce() const {
    return std::ranges::all_of(m_balancers,
                               [this](const auto& one) { return one->version == m_version; });
  }

  std::size_t Calls() const { return m_calls; }
  std::size_t MostInProgress() const { return m_most_in_progress; }

 private:
  struct Call {
    StartStoreCall started;
    base::TimePoint started_at{};
    std::uint64_t answer_version = 0;  // of a read: the store's when the call was made
    std::uint64_t known_version = 0;   // of the balancer then
    std::optional<base::TimePoint> answer_at;
    bool is_lost = false;
  };

  struct Balancer {
    std::unique_ptr<StoreReaderRole> role;
    std::unique_ptr<StoreCallScheduler> scheduler;
    std::map<StoreCallId, Call> calls;
    std::uint64_t version = 0;
  };

  static base::SocketAddress Address(std::size_t index) {
    return Node(static_cast<std::uint32_t>(index) + 1);
  }

  std::vector<BalancerAge> Others(std::size_t self) const {
    std::vector<BalancerAge> others;
    for (std::size_t index = 0; index < m_balancers.size(); ++index) {
      if (index != self) {
        others.push_back({Address(index), base::Duration(0)});
      }
    }
    return others;
  }

  void Run(Balancer& balancer) {
    std::vector<StoreCallId> ids;
    for (const auto& [id, call] : balancer.calls) {
      ids.push_back(id);
    }
    for (const StoreCallId id : ids) {
      if (balancer.calls.contains(id)) {
        Advance(balancer, balancer.calls.at(id));
      }
    }
    const std::optional<base::TimePoint> due = balancer.scheduler->NextDue();
    if (due && m_now >= *due) {
      balancer.scheduler->Tick(m_now);
      Execute(balancer);
    }
  }

  void Advance(Balancer& balancer, Call& call) {
    const base::Duration age = m_now - call.started_at;
    const bool is_watch = call.started.kind == StoreCallKind::kWatch;
    const bool is_executed =
        !is_watch || m_version > call.known_version || age >= call.started.wait;
    if (is_executed && !call.answer_at) {
      call.answer_at = m_now + m_latency;
      call.answer_version = is_watch ? m_version : call.answer_version;
    }
    if (!call.is_lost && call.answer_at && m_now >= *call.answer_at) {
      OnAnswer(balancer, call);
    } else if (age >= call.started.timeout) {
      End(balancer, call.started.call, StoreCallEnd::kUnanswered);
    }
  }

  void OnAnswer(Balancer& balancer, const Call& call) {
    const std::uint64_t version = call.answer_version;
    balancer.version = std::max(balancer.version, version);
    End(balancer, call.started.call, StoreCallEnd::kComplete);
    const bool is_news = balancer.role->TakeContactUpdate();
    for (const auto& other : m_balancers) {
      if (other.get() != &balancer && is_news && other->version <= version) {
        other->role->NotePeer(base::Duration(0), m_now);
      }
      other->version = std::max(other->version, version);
    }
  }

  void End(Balancer& balancer, StoreCallId call, StoreCallEnd end) {
    balancer.calls.erase(call);
    balancer.scheduler->OnCallEnded(call, end, m_now);
    Execute(balancer);
  }

  void Execute(Balancer& balancer) {
    for (const StoreCallAction& action : balancer.scheduler->TakeActions()) {
      if (const auto* start = std::get_if<StartStoreCall>(&action)) {
        ++m_calls;
        balancer.calls[start->call] = {*start, m_now, m_version, balancer.version, {}, m_is_silent};
        m_most_in_progress = std::max(m_most_in_progress, balancer.calls.size());
      } else if (const auto* cancel = std::get_if<CancelStoreCall>(&action)) {
        balancer.calls.erase(cancel->call);
      }
    }
  }

  base::RandomSource m_random;
  base::TimePoint m_now = At(0);
  std::vector<std::unique_ptr<Balancer>> m_balancers;
  bool m_is_silent = false;
  base::Duration m_latency = kUsualLatency;
  std::uint64_t m_version = 1;
  std::size_t m_calls = 0;
  std::size_t m_most_in_progress = 0;
};

std::string Describe(std::size_t balancers, Limits limits, base::Duration silence,
                     base::Duration taken) {
  const auto text = [](base::Duration time) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
  };
  return std::to_string(balancers) + " balancers, contact limit " + text(limits.contact) +
         " ms, silence " + text(silence) + " ms: in force after " + text(taken) + " ms";
}

class StoreCallSchedulerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreCallSchedulerTest);
  CPPUNIT_TEST(AChangeAfterASilenceOfAnyLengthIsInForceInTime);
  CPPUNIT_TEST(AChangeAfterASilenceIsInForceInTimeInALargeDeployment);
  CPPUNIT_TEST(AFormerSilenceDoesNotDelayAChangeAfterTheNextOne);
  CPPUNIT_TEST(ASlowStoreIsReadWhileNewerReadsAreMade);
  CPPUNIT_TEST(TheCallsToASilentStoreAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reads whose time-out outlasts the silence: no balancer called the store for
  // seconds after its return, and a removed route stayed in force (incident 0025).
  void AChangeAfterASilenceOfAnyLengthIsInForceInTime() {
    for (const Limits& limits : {kShortLimits, kLongLimits}) {
      for (const std::size_t balancers : {1U, 2U, 3U, 4U, 9U}) {
        for (milliseconds silence(100); silence <= seconds(20); silence += milliseconds(100)) {
          StoreDeployment deployment(balancers, limits, 1);
          deployment.RunFor(seconds(5) + silence / 7);  // at various moments of a watch
          CheckSilence(deployment, balancers, limits, silence);
        }
      }
    }
  }

  void AChangeAfterASilenceIsInForceInTimeInALargeDeployment() {
    for (const Limits& limits : {kShortLimits, kLongLimits}) {
      for (milliseconds silence(300); silence <= seconds(20); silence += milliseconds(1'700)) {
        StoreDeployment deployment(91, limits, 2);
        deployment.RunFor(seconds(5));
        CheckSilence(deployment, 91, limits, silence);
      }
    }
  }

  // The time-out that had grown in one silence was still in force at the begin of the next one
  // where a watch, not a read, was answered first in between (incident 0025).
  void AFormerSilenceDoesNotDelayAChangeAfterTheNextOne() {
    for (milliseconds silence(100); silence <= seconds(10); silence += milliseconds(100)) {
      StoreDeployment deployment(4, kShortLimits, 3);
      deployment.RunFor(seconds(5));
      for (int former = 0; former < 2; ++former) {
        deployment.FallSilent();
        deployment.RunFor(seconds(9));
        deployment.Return();
        deployment.Change();
        deployment.RunFor(seconds(8));
      }
      CheckSilence(deployment, 4, kShortLimits, silence);
    }
  }

  void ASlowStoreIsReadWhileNewerReadsAreMade() {
    for (const std::size_t balancers : {1U, 4U, 9U}) {
      for (const int latency : {300, 800, 1'000, 1'600, 3'000, 5'000}) {
        StoreDeployment deployment(balancers, kShortLimits, 4);
        deployment.RunFor(seconds(5));
        deployment.SetLatency(milliseconds(latency));
        deployment.RunFor(seconds(5));
        deployment.Change();
        deployment.TimeUntilInForce(seconds(30));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(balancers) + " balancers, an answer takes " +
                                   std::to_string(latency) + " ms",
                               deployment.IsInForce());
        CPPUNIT_ASSERT(deployment.MostInProgress() <= kMaxReadsInProgress);
      }
    }
  }

  // All balancers together make at most 30 calls a second, however long the store is silent.
  void TheCallsToASilentStoreAreBounded() {
    for (const std::size_t balancers : {4U, 30U, 91U}) {
      StoreDeployment deployment(balancers, kLongLimits, 5);
      deployment.RunFor(seconds(5));
      deployment.FallSilent();
      for (int period = 0; period < 3; ++period) {
        const std::size_t before = deployment.Calls();
        deployment.RunFor(seconds(20));
        CPPUNIT_ASSERT(deployment.Calls() - before <= 20 * 30);
      }
      CPPUNIT_ASSERT(deployment.MostInProgress() <= kMaxReadsInProgress);
    }
  }

 private:
  // Lets the store fall silent, and changes the entries when it returns and 0.9 s later.
  static void CheckSilence(StoreDeployment& deployment, std::size_t balancers, Limits limits,
                           base::Duration silence) {
    const base::Duration until_next_change = milliseconds(900);
    deployment.FallSilent();
    deployment.RunFor(silence);
    deployment.Return();
    deployment.Change();
    const base::Duration first = deployment.TimeUntilInForce(limits.contact);
    CPPUNIT_ASSERT_MESSAGE(Describe(balancers, limits, silence, first),
                           first <= limits.contact - kDistribution);
    if (first < until_next_change) {
      deployment.RunFor(until_next_change - first);
    }
    deployment.Change();
    const base::Duration second = deployment.TimeUntilInForce(limits.contact);
    CPPUNIT_ASSERT_MESSAGE("second change, " + Describe(balancers, limits, silence, second),
                           second <= limits.change - kDistribution);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreCallSchedulerTest);

}  // namespace
}  // namespace gaugevalve::placement
