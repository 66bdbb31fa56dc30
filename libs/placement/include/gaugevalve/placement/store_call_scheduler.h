/// @file
/// Decides when a balancer reads or watches the operator's entries in the store.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <variant>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/strong_id.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/balancer_list.h"
#include "gaugevalve/placement/store_reader_role.h"

namespace gaugevalve::placement {

/// A call of one scheduler to the store.
using StoreCallId = base::StrongId<struct StoreCallIdTag, std::uint64_t>;

enum class StoreCallKind : std::uint8_t {
  kRead,   ///< returns all entries
  kWatch,  ///< returns the changes since the last answer, or waits for one
};

/// How a call ended.
enum class StoreCallEnd : std::uint8_t {
  kComplete,    ///< the entries are known as of this answer
  kUnanswered,  ///< no answer within the time-out, or the connection failed
  kRefused,     ///< an answer without entries
  kReadAgain,   ///< the store no longer keeps the changes, or the entries cannot be used
};

/// Make this call, on a connection that no other call waits on, and report its end with
/// OnCallEnded().
struct StartStoreCall {
  StoreCallId call;
  StoreCallKind kind = StoreCallKind::kRead;
  base::Duration wait{0};     ///< of a watch: how long the store may wait for a change
  base::Duration timeout{0};  ///< after this the call counts as unanswered
};

/// This call has not been answered in the usual time, which counts as a failure. It goes on, as the
/// store may be slow.
struct NoteOverdueStoreCall {
  StoreCallId call;
};

/// Give this call up; its end is not to be reported.
struct CancelStoreCall {
  StoreCallId call;
};

using StoreCallAction = std::variant<StartStoreCall, NoteOverdueStoreCall, CancelStoreCall>;

struct StoreCallSettings {
  /// After this a read is overdue, and another one is made beside it.
  base::Duration call_timeout = std::chrono::milliseconds(700);
  /// Maximum time from the store's return until the entries are known again. Reads are overdue
  /// after a quarter of it at the latest; where all balancers watch, a watch takes 3/4 of it.
  base::Duration contact_limit = std::chrono::seconds(4);
};

/// Decision core. Reads the entries, then watches them, while StoreReaderRole assigns this balancer
/// to do so; repeats failed calls after a pause with jitter.
///
/// A connection on which an answer was lost stays silent, while a slow store answers late. Both
/// look alike to the caller. So a read that is overdue goes on, and further reads are made beside
/// it at a constant pace, however long the store is silent: the first read that is answered ends
/// all of them. Not thread-safe.
class StoreCallScheduler {
 public:
  /// Returns the other balancers that are alive.
  using AliveBalancers = std::function<std::vector<BalancerAge>()>;

  /// @param role  must outlive this object, as must `random`
  StoreCallScheduler(StoreCallSettings settings, StoreReaderRole& role, AliveBalancers alive,
                     base::RandomSource& random);

  /// Begins with a read.
  void Start(base::TimePoint now);

  /// Reports the end of a call.
  void OnCallEnded(StoreCallId call, StoreCallEnd end, base::TimePoint now);

  /// Does what is due.
  void Tick(base::TimePoint now);

  /// Returns when Tick() is next needed; nothing while a watch is awaited.
  std::optional<base::TimePoint> NextDue() const { return m_due; }

  /// Returns the actions decided since the last call, in order.
  std::vector<StoreCallAction> TakeActions();

 private:
  void StartRead(base::TimePoint now);
  void StartWatch();
  void StartCall(StoreCallKind kind, base::Duration wait, base::Duration timeout);
  void CancelCalls();
  void OnComplete(base::TimePoint now);
  void OnFailure(base::TimePoint now);
  void Resume(base::TimePoint now);
  bool DoAllWatch() const;
  bool ShouldWatch(base::TimePoint now) const;
  base::Duration ReadInterval() const;
  base::Duration NextPause();

  StoreCallSettings m_settings;
  StoreReaderRole& m_role;
  AliveBalancers m_alive;
  base::RandomSource& m_random;
  base::Duration m_pause_bound;
  std::uint64_t m_last_call = 0;
  std::vector<StartStoreCall> m_calls;   // in progress: one watch, or reads
  std::optional<StoreCallId> m_awaited;  // the call that is in progress and not overdue
  std::optional<base::TimePoint> m_due;  // when the awaited read is overdue, or a pause ends
  unsigned m_unanswered_watches = 0;     // since a call was last answered with entries
  bool m_may_watch = false;  // the entries are known and the store still has the changes after them
  std::vector<StoreCallAction> m_actions;
};

}  // namespace gaugevalve::placement
