// The bound on what readers send a store that comes back: its rate limit, whatever their number.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "stampede.h"

namespace gaugevalve::proofs {
namespace {

class StampedeProof : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StampedeProof);
  CPPUNIT_TEST(FewReadersStayFarBelowTheLimit);
  CPPUNIT_TEST(AllNodesStayBelowTheLimit);
  CPPUNIT_TEST(ShortOutageIsNoWorse);
  CPPUNIT_TEST(AllNodesReadAgainAfterACompaction);
  CPPUNIT_TEST(CatchesReadersWithoutBudget);
  CPPUNIT_TEST(CatchesReconnectsThatAreNotSpread);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FewReadersStayFarBelowTheLimit() { MustStayBelow({.readers = 8}); }

  void AllNodesStayBelowTheLimit() { MustStayBelow({.readers = kNodesAtTarget}); }

  void ShortOutageIsNoWorse() {
    MustStayBelow({.readers = kNodesAtTarget, .outage = std::chrono::seconds(2)});
  }

  void AllNodesReadAgainAfterACompaction() {
    MustStayBelow({.readers = kNodesAtTarget, .compacted = true});
  }

  void CatchesReadersWithoutBudget() {
    const StampedeReport report =
        Run({.readers = kNodesAtTarget, .budgeted = false, .spread = false});
    CPPUNIT_ASSERT(report.peak_on_return > kRateLimit);
  }

  void CatchesReconnectsThatAreNotSpread() {
    const StampedeReport report = Run({.readers = kNodesAtTarget, .spread = false});
    CPPUNIT_ASSERT(report.peak_at_loss > kRateLimit);
  }

 private:
  static constexpr std::uint32_t kNodesAtTarget = 4460;
  static constexpr std::uint64_t kRateLimit = 100;

  static StampedeReport Run(StampedeSettings settings) {
    settings.store_rate_limit = kRateLimit;
    const StampedeReport report = RunStampede(settings);
    std::cout << " seed " << settings.seed << " readers " << settings.readers << " peaks "
              << report.peak_at_loss << ' ' << report.peak_in_outage << ' '
              << report.peak_on_return;
    return report;
  }

  static void MustStayBelow(const StampedeSettings& settings) {
    const StampedeReport report = Run(settings);
    CPPUNIT_ASSERT(report.recovered);
    CPPUNIT_ASSERT(report.peak_at_loss <= kRateLimit);
    CPPUNIT_ASSERT(report.peak_in_outage <= kRateLimit);
    CPPUNIT_ASSERT(report.peak_on_return <= kRateLimit);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, report.rate_limited);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StampedeProof);

}  // namespace
}  // namespace gaugevalve::proofs
