#include "stampede.h"

#include <algorithm>
#include <memory>
#include <vector>

#include "gaugevalve/store/backoff.h"
#include "hollow_reader.h"

namespace gaugevalve::proofs {
namespace {

constexpr base::Duration kLossWindow = std::chrono::seconds(10);
constexpr base::Duration kRecoveryLimit = std::chrono::minutes(10);
constexpr base::Duration kStep = std::chrono::seconds(1);
constexpr double kUnlimited = 1e6;

store::SchedulerSettings SchedulerFor(const StampedeSettings& settings) {
  store::SchedulerSettings scheduler;
  const double budget = settings.store_rate_limit * settings.budget_share;
  scheduler.requests_per_second = settings.budgeted ? budget / settings.readers : kUnlimited;
  scheduler.burst = settings.budgeted ? std::max(1.0, scheduler.requests_per_second) : kUnlimited;
  return scheduler;
}

store::WatchSessionSettings SessionFor(const StampedeSettings& settings,
                                       const store::SchedulerSettings& scheduler) {
  store::WatchSessionSettings session;
  session.key = "settings/";
  session.range_end = store::PrefixEnd(session.key);
  session.audit_period = std::chrono::hours(24);  // audits are no part of this question
  if (settings.spread) {
    session.backoff = store::SpreadBackoff(session.backoff, scheduler.requests_per_second);
  }
  return session;
}

// The readers and their store, with what is asked of them.
class Run {
 public:
  explicit Run(const StampedeSettings& settings) : store_(settings.store_rate_limit) {
    const store::SchedulerSettings scheduler = SchedulerFor(settings);
    const store::WatchSessionSettings session = SessionFor(settings, scheduler);
    base::RandomSource random(settings.seed);
    for (std::uint32_t index = 0; index < settings.readers; ++index) {
      readers_.push_back(
          std::make_unique<HollowReader>(queue_, store_, scheduler, session, random.NextUint64()));
    }
  }

  void StartSpread(base::Duration span) {
    for (std::size_t index = 0; index < readers_.size(); ++index) {
      const base::Duration delay = span * index / readers_.size();
      queue_.Schedule(queue_.Now() + delay, [reader = readers_[index].get()] { reader->Start(); });
    }
    AdvanceTo(queue_.Now() + span);
  }

  bool AllStreaming() const {
    return std::ranges::all_of(readers_, [](const auto& reader) { return reader->IsStreaming(); });
  }

  // Returns true when all streamed before `limit`.
  bool AdvanceUntilAllStreaming(base::TimePoint limit) {
    while (!AllStreaming() && queue_.Now() < limit) {
      AdvanceTo(queue_.Now() + kStep);
    }
    return AllStreaming();
  }

  void TakeStoreAway() {
    store_.SetReachable(false);
    for (const auto& reader : readers_) {
      reader->CloseStream();
    }
  }

  void BringStoreBack(bool compacted) {
    store_.SetReachable(true);
    if (compacted) {
      store_.CompactAt(base::Revision{100});
    }
  }

  void AdvanceTo(base::TimePoint time) {
    while (queue_.RunNext(time)) {
    }
  }

  base::TimePoint Now() const { return queue_.Now(); }
  const HollowStore& Store() const { return store_; }

 private:
  simulation::EventQueue queue_;
  HollowStore store_;
  std::vector<std::unique_ptr<HollowReader>> readers_;
};

}  // namespace

StampedeReport RunStampede(const StampedeSettings& settings) {
  Run run(settings);
  run.StartSpread(std::chrono::hours(1));
  run.AdvanceUntilAllStreaming(run.Now() + std::chrono::hours(1));
  const base::TimePoint lost_at = run.Now();
  run.TakeStoreAway();
  const std::uint64_t limited_before = run.Store().RateLimited();
  run.AdvanceTo(lost_at + settings.outage);
  run.BringStoreBack(settings.compacted);
  const base::TimePoint back_at = run.Now();
  StampedeReport report;
  report.recovered = run.AdvanceUntilAllStreaming(back_at + kRecoveryLimit);
  report.recovery = run.Now() - back_at;
  const base::TimePoint loss_end = std::min(lost_at + kLossWindow, back_at);
  report.peak_at_loss = run.Store().PeakPerSecond(lost_at, loss_end);
  report.peak_in_outage = run.Store().PeakPerSecond(loss_end, back_at);
  report.peak_on_return = run.Store().PeakPerSecond(back_at, run.Now() + kStep);
  report.rate_limited = run.Store().RateLimited() - limited_before;
  return report;
}

}  // namespace gaugevalve::proofs
