#include "gaugevalve/placement/store_call_scheduler.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::placement {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kMaxReadTimeout = milliseconds(5600);
// How often a balancer that doesn't read the store checks whether it has become a reader.
constexpr base::Duration kIdlePeriod = milliseconds(150);
// Upper bounds of the first pause after a failure and of all pauses.
constexpr base::Duration kFirstPause = milliseconds(120);
constexpr base::Duration kMaxPause = milliseconds(600);

}  // namespace

StoreCallScheduler::StoreCallScheduler(StoreCallSettings settings, StoreReaderRole& role,
                                       AliveBalancers alive, base::RandomSource& random)
    : m_settings(settings),
      m_role(role),
      m_alive(std::move(alive)),
      m_random(random),
      m_read_timeout(settings.call_timeout),
      m_pause_bound(kFirstPause) {}

void StoreCallScheduler::Start(base::TimePoint /*now*/) { StartRead(); }

void StoreCallScheduler::OnCallEnded(StoreCallId call, StoreCallEnd end, base::TimePoint now) {
  if (!m_call || m_call->call != call) {
    return;
  }
  const bool is_read = m_call->kind == StoreCallKind::kRead;
  m_call.reset();
  if (end == StoreCallEnd::kComplete) {
    OnComplete(now);
    return;
  }
  if (end == StoreCallEnd::kReadAgain) {
    m_may_watch = false;
  }
  if (is_read) {
    // A longer time-out lets a read of a slow store succeed; with a fixed one each retry would
    // fail.
    m_read_timeout = end == StoreCallEnd::kUnanswered
                         ? std::min(2 * m_read_timeout, kMaxReadTimeout)
                         : m_settings.call_timeout;
  }
  OnFailure(now);
}

void StoreCallScheduler::Tick(base::TimePoint now) {
  if (m_due && now >= *m_due) {
    m_due.reset();
    Resume(now);
  }
}

std::vector<StoreCallAction> StoreCallScheduler::TakeActions() {
  return std::exchange(m_actions, {});
}

void StoreCallScheduler::StartRead() {
  StartCall(StoreCallKind::kRead, base::Duration(0), m_read_timeout);
}

void StoreCallScheduler::StartWatch() {
  // Where all watch, the watch and its slack take 3/4 of the contact limit; the rest is for the
  // read that follows a watch without an answer.
  const base::Duration wait =
      DoAllWatch() ? m_settings.contact_limit * 5 / 8 : m_role.WatchTimeout();
  const base::Duration slack = wait / 5;
  StartCall(StoreCallKind::kWatch, wait, wait + slack);
}

void StoreCallScheduler::StartCall(StoreCallKind kind, base::Duration wait,
                                   base::Duration timeout) {
  m_call = StartStoreCall{StoreCallId(++m_last_call), kind, wait, timeout};
  m_actions.emplace_back(*m_call);
}

void StoreCallScheduler::OnComplete(base::TimePoint now) {
  m_may_watch = true;
  m_read_timeout = m_settings.call_timeout;
  m_pause_bound = kFirstPause;
  m_role.NoteContact(now);
  if (m_role.ShouldRead(m_alive(), now)) {
    StartWatch();
  } else {
    m_due = now + kIdlePeriod;
  }
}

void StoreCallScheduler::OnFailure(base::TimePoint now) {
  m_role.NoteFailure(m_alive(), now);
  m_due = now + NextPause();
}

// Calls the store again if this balancer is a reader. Stale entries are refreshed by a read, since
// a watch answers late when nothing has changed.
void StoreCallScheduler::Resume(base::TimePoint now) {
  if (!m_role.ShouldRead(m_alive(), now)) {
    m_due = now + kIdlePeriod;
  } else if (m_may_watch && (DoAllWatch() || !m_role.IsStale(now))) {
    StartWatch();
  } else {
    StartRead();
  }
}

bool StoreCallScheduler::DoAllWatch() const {
  return m_alive().size() < StoreReaderRole::kReaders;
}

base::Duration StoreCallScheduler::NextPause() {
  const base::Duration pause = m_random.NextJitter(m_pause_bound);
  m_pause_bound = std::min(2 * m_pause_bound, kMaxPause);
  return pause;
}

}  // namespace gaugevalve::placement
