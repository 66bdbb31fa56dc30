#include "gaugevalve/placement/store_reader_role.h"

#include <algorithm>

#include "gaugevalve/placement/duty_rank.h"

namespace gaugevalve::placement {
namespace {

constexpr char kDuty[] = "store reader";
// Parts of the time in which a change has to be in force, in percent. A reader's watch ends after
// the first; with three readers, news of a contact come three times as often. Knowledge older than
// the second has lost its readers. Who takes over waits for the third at most; the rest is for the
// read and for handing the configuration on.
constexpr int kWatchPercent = 40;
constexpr int kStalePercent = 60;
constexpr int kTakeOverPercent = 25;
// Peers are told of a contact that is this much newer than the last one they were told of.
constexpr int kNewsPercent = 25;
// Time that those who take over draw from, for each balancer: 40 reads a second by all together.
constexpr base::Duration kTakeOverForEach = std::chrono::milliseconds(25);
// The same between two tries at a store that doesn't answer: 20 calls a second by all together.
constexpr base::Duration kRetryForEach = std::chrono::milliseconds(50);
constexpr base::Duration kShortestRetry = std::chrono::milliseconds(250);
// A reader that fails while others hear the store leaves it to them for so long.
constexpr base::Duration kRest = std::chrono::seconds(5);
// A balancer this young doesn't know who else is there; what it has read is new enough meanwhile.
constexpr base::Duration kJoiningTime = std::chrono::milliseconds(500);

base::Duration PartOf(base::Duration whole, int percent) { return whole * percent / 100; }

}  // namespace

StoreReaderRole::StoreReaderRole(const base::SocketAddress& self, StoreReaderSettings settings,
                                 base::RandomSource& random, base::TimePoint now)
    : m_self(self), m_settings(settings), m_random(random), m_started_at(now) {}

void StoreReaderRole::NoteHeard(base::TimePoint heard_at) {
  m_heard_at = m_heard_at ? std::max(*m_heard_at, heard_at) : heard_at;
}

std::optional<base::Duration> StoreReaderRole::Age(base::TimePoint now) const {
  return m_heard_at ? std::optional<base::Duration>(now - *m_heard_at) : std::nullopt;
}

bool StoreReaderRole::IsStale(base::TimePoint now) const {
  return !m_heard_at || now - *m_heard_at > PartOf(m_settings.change_limit, kStalePercent);
}

base::Duration StoreReaderRole::WatchTimeout() const {
  return PartOf(m_settings.change_limit, kWatchPercent);
}

void StoreReaderRole::NoteFailure(std::span<const BalancerAge> others, base::TimePoint now) {
  if (!IsStale(now)) {
    m_resting_until = now + kRest;
    return;
  }
  const base::Duration share = std::clamp(kRetryForEach * static_cast<int>(others.size() + 1),
                                          kShortestRetry, m_settings.change_limit);
  m_take_over_at = now + share / 2 + m_random.NextJitter(share);
  m_resting_until = *m_take_over_at;
}

bool StoreReaderRole::ShouldRead(std::span<const BalancerAge> others, base::TimePoint now) {
  const std::size_t balancers = others.size() + 1;
  if (balancers <= kReaders) {
    return !m_heard_at || now - m_started_at >= kJoiningTime;
  }
  if (!IsStale(now)) {
    m_take_over_at.reset();
    return now >= m_resting_until && now - m_started_at >= kJoiningTime &&
           DutyRank(kDuty, m_self, others) < kReaders;
  }
  if (!m_take_over_at) {
    const base::Duration share = std::min(kTakeOverForEach * static_cast<int>(balancers),
                                          PartOf(m_settings.change_limit, kTakeOverPercent));
    m_take_over_at = now + (m_heard_at ? m_random.NextJitter(share) : base::Duration(0));
  }
  return now >= *m_take_over_at;
}

bool StoreReaderRole::TakeNews() {
  const base::Duration step = PartOf(m_settings.change_limit, kNewsPercent);
  const bool is_news = m_heard_at && (!m_passed_on || *m_heard_at - *m_passed_on >= step);
  if (is_news) {
    m_passed_on = m_heard_at;
  }
  return is_news;
}

}  // namespace gaugevalve::placement
