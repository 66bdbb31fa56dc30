#include "gaugevalve/placement/store_reader_role.h"

#include <algorithm>

#include "gaugevalve/placement/duty_rank.h"

namespace gaugevalve::placement {
namespace {

constexpr char kDuty[] = "store reader";
// Percentages of the time in which a change has to be in force. A reader's watch call ends after
// kWatchPercent; with three readers there are three times as many contacts. A contact older than
// kStalePercent means that all readers have failed. A balancer that takes over waits for at most
// kTakeOverPercent. The remaining time is for the read and for distributing the configuration.
constexpr int kWatchPercent = 40;
constexpr int kStalePercent = 60;
constexpr int kTakeOverPercent = 25;
// A contact is gossiped if it is newer than the last gossiped one by this percentage.
constexpr int kContactUpdatePercent = 25;
// Window of the random delay before a take-over, per balancer. It limits the reads of all balancers
// together to 40 a second.
constexpr base::Duration kTakeOverWindowPerBalancer = std::chrono::milliseconds(25);
// Mean time between two calls to a store that does not answer, per balancer. It limits the calls of
// all balancers together to 20 a second, as long as that leaves each of them at least one call in
// the time in which a change has to be in force: a call is made after half to one and a half times
// the mean, which is kMaxRetryPercent of that time at most.
constexpr base::Duration kRetryPeriodPerBalancer = std::chrono::milliseconds(50);
constexpr base::Duration kMinRetryPeriod = std::chrono::milliseconds(250);
constexpr int kMaxRetryPercent = 66;
// A reader whose calls fail while other balancers reach the store does not call it for this time.
constexpr base::Duration kFailedReaderBackoff = std::chrono::seconds(5);
// In this time after its start a balancer does not know its peers yet, and what it has read first
// is recent enough.
constexpr base::Duration kJoiningTime = std::chrono::milliseconds(500);

base::Duration PercentOf(base::Duration whole, int percent) { return whole * percent / 100; }

}  // namespace

StoreReaderRole::StoreReaderRole(const base::SocketAddress& self, StoreReaderSettings settings,
                                 base::RandomSource& random, base::TimePoint now)
    : m_self(self), m_settings(settings), m_random(random), m_started_at(now) {}

void StoreReaderRole::UpdateLastContact(base::TimePoint contact_at) {
  m_last_contact_at = m_last_contact_at ? std::max(*m_last_contact_at, contact_at) : contact_at;
}

std::optional<base::Duration> StoreReaderRole::Age(base::TimePoint now) const {
  return m_last_contact_at ? std::optional<base::Duration>(now - *m_last_contact_at) : std::nullopt;
}

bool StoreReaderRole::IsStale(base::TimePoint now) const {
  return !m_last_contact_at ||
         now - *m_last_contact_at > PercentOf(m_settings.change_limit, kStalePercent);
}

base::Duration StoreReaderRole::WatchTimeout() const {
  return PercentOf(m_settings.change_limit, kWatchPercent);
}

void StoreReaderRole::NoteFailure(std::span<const BalancerAge> others, base::TimePoint now) {
  if (!IsStale(now)) {
    m_backoff_until = now + kFailedReaderBackoff;
    return;
  }
  const base::Duration share =
      std::clamp(kRetryPeriodPerBalancer * static_cast<int>(others.size() + 1), kMinRetryPeriod,
                 PercentOf(m_settings.change_limit, kMaxRetryPercent));
  m_take_over_at = now + share / 2 + m_random.NextJitter(share);
  m_backoff_until = *m_take_over_at;
}

bool StoreReaderRole::ShouldRead(std::span<const BalancerAge> others, base::TimePoint now) {
  const std::size_t balancers = others.size() + 1;
  if (balancers <= kReaders) {
    return !m_last_contact_at || now - m_started_at >= kJoiningTime;
  }
  if (!IsStale(now)) {
    m_take_over_at.reset();
    return now >= m_backoff_until && now - m_started_at >= kJoiningTime &&
           DutyRank(kDuty, m_self, others) < kReaders;
  }
  if (!m_take_over_at) {
    const base::Duration share = std::min(kTakeOverWindowPerBalancer * static_cast<int>(balancers),
                                          PercentOf(m_settings.change_limit, kTakeOverPercent));
    m_take_over_at = now + (m_last_contact_at ? m_random.NextJitter(share) : base::Duration(0));
  }
  return now >= *m_take_over_at;
}

bool StoreReaderRole::TakeContactUpdate() {
  const base::Duration step = PercentOf(m_settings.change_limit, kContactUpdatePercent);
  const bool has_changed_holder =
      m_last_contact_at &&
      (!m_last_gossiped_contact || *m_last_contact_at - *m_last_gossiped_contact >= step);
  if (has_changed_holder) {
    m_last_gossiped_contact = m_last_contact_at;
  }
  return has_changed_holder;
}

}  // namespace gaugevalve::placement
