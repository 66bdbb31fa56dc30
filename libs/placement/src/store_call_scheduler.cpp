#include "gaugevalve/placement/store_call_scheduler.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::placement {
namespace {

using std::chrono::milliseconds;

// A read is given up after this number of intervals. A store that is slower can't be read, and no
// more reads than this are in progress at once.
constexpr int kReadTimeoutIntervals = 8;
// How often a balancer that doesn't read the store checks whether it has become a reader.
constexpr base::Duration kIdlePeriod = milliseconds(150);
// Upper bounds of the first pause after a failure and of all pauses.
constexpr base::Duration kFirstPause = milliseconds(120);
constexpr base::Duration kMaxPause = milliseconds(600);
// Parts of the contact limit that the wait for a read and the pause after it may take.
constexpr int kReadsPerContactLimit = 4;
constexpr int kPausesPerContactLimit = 8;
// Where all balancers watch, the entries are read after this number of watches without an answer:
// a store that is too slow for the time-out of a watch may still answer a read.
constexpr unsigned kMaxUnansweredWatches = 2;

}  // namespace

StoreCallScheduler::StoreCallScheduler(StoreCallSettings settings, StoreReaderRole& role,
                                       AliveBalancers alive, base::RandomSource& random)
    : m_settings(settings),
      m_role(role),
      m_alive(std::move(alive)),
      m_random(random),
      m_pause_bound(kFirstPause) {}

void StoreCallScheduler::Start(base::TimePoint now) { StartRead(now); }

void StoreCallScheduler::OnCallEnded(StoreCallId call, StoreCallEnd end, base::TimePoint now) {
  const auto ended = std::ranges::find(m_calls, call, &StartStoreCall::call);
  if (ended == m_calls.end()) {
    return;
  }
  const StoreCallKind kind = ended->kind;
  m_calls.erase(ended);
  if (end == StoreCallEnd::kComplete) {
    OnComplete(now);
    return;
  }
  if (end == StoreCallEnd::kReadAgain) {
    m_may_watch = false;
  }
  if (kind == StoreCallKind::kWatch && end == StoreCallEnd::kUnanswered) {
    ++m_unanswered_watches;
  }
  if (m_awaited == call) {
    OnFailure(now);
  }
}

void StoreCallScheduler::Tick(base::TimePoint now) {
  if (!m_due || now < *m_due) {
    return;
  }
  if (m_awaited) {
    m_actions.emplace_back(NoteOverdueStoreCall{*m_awaited});
    OnFailure(now);
  } else {
    Resume(now);
  }
}

std::vector<StoreCallAction> StoreCallScheduler::TakeActions() {
  return std::exchange(m_actions, {});
}

void StoreCallScheduler::StartRead(base::TimePoint now) {
  StartCall(StoreCallKind::kRead, base::Duration(0), kReadTimeoutIntervals * ReadInterval());
  m_due = now + ReadInterval();
}

void StoreCallScheduler::StartWatch() {
  CancelCalls();
  // Where all watch, the watch and its slack take 3/4 of the contact limit; the rest is for the
  // call that follows a watch without an answer.
  const base::Duration wait =
      DoAllWatch() ? m_settings.contact_limit * 5 / 8 : m_role.WatchTimeout();
  const base::Duration slack = wait / 5;
  StartCall(StoreCallKind::kWatch, wait, wait + slack);
  m_due.reset();
}

void StoreCallScheduler::StartCall(StoreCallKind kind, base::Duration wait,
                                   base::Duration timeout) {
  m_calls.push_back({StoreCallId(++m_last_call), kind, wait, timeout});
  m_awaited = m_calls.back().call;
  m_actions.emplace_back(m_calls.back());
}

void StoreCallScheduler::CancelCalls() {
  for (const StartStoreCall& started : m_calls) {
    m_actions.emplace_back(CancelStoreCall{started.call});
  }
  m_calls.clear();
  m_awaited.reset();
}

void StoreCallScheduler::OnComplete(base::TimePoint now) {
  CancelCalls();
  m_may_watch = true;
  m_unanswered_watches = 0;
  m_pause_bound = kFirstPause;
  m_role.NoteContact(now);
  if (m_role.ShouldRead(m_alive(), now)) {
    StartWatch();
  } else {
    m_due = now + kIdlePeriod;
  }
}

void StoreCallScheduler::OnFailure(base::TimePoint now) {
  m_awaited.reset();
  m_role.NoteFailure(m_alive(), now);
  m_due = now + NextPause();
}

// Calls the store again if this balancer is a reader.
void StoreCallScheduler::Resume(base::TimePoint now) {
  if (m_role.ShouldRead(m_alive(), now)) {
    ShouldWatch(now) ? StartWatch() : StartRead(now);
    return;
  }
  if (!m_role.IsStale(now)) {
    CancelCalls();  // what another balancer has read is newer than what they would return
  }
  m_due = now + kIdlePeriod;
}

bool StoreCallScheduler::DoAllWatch() const { return m_alive().size() < StoreReaderRole::kReaders; }

// Stale entries are refreshed by a read, since a watch answers late when nothing has changed.
bool StoreCallScheduler::ShouldWatch(base::TimePoint now) const {
  const bool has_fresh_entries =
      DoAllWatch() ? m_unanswered_watches < kMaxUnansweredWatches : !m_role.IsStale(now);
  return m_may_watch && has_fresh_entries;
}

base::Duration StoreCallScheduler::ReadInterval() const {
  return std::min(m_settings.call_timeout, m_settings.contact_limit / kReadsPerContactLimit);
}

base::Duration StoreCallScheduler::NextPause() {
  const base::Duration pause = m_random.NextJitter(m_pause_bound);
  const base::Duration longest =
      std::min(kMaxPause, m_settings.contact_limit / kPausesPerContactLimit);
  m_pause_bound = std::min(2 * m_pause_bound, longest);
  return pause;
}

}  // namespace gaugevalve::placement
