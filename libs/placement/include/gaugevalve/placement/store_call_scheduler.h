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

/// Make this call and report its end with OnCallEnded().
struct StartStoreCall {
  StoreCallId call;
  StoreCallKind kind = StoreCallKind::kRead;
  base::Duration wait{0};     ///< of a watch: how long the store may wait for a change
  base::Duration timeout{0};  ///< after this the call counts as unanswered
};

using StoreCallAction = std::variant<StartStoreCall>;

struct StoreCallSettings {
  /// Time-out of a read of a store that answers as usual.
  base::Duration call_timeout = std::chrono::milliseconds(700);
  /// Where all balancers watch: the time within which a watch on a dead connection is detected and
  /// the entries are read again.
  base::Duration contact_limit = std::chrono::seconds(4);
};

/// Decision core. Reads the entries, then watches them, while StoreReaderRole assigns this balancer
/// to do so; repeats failed calls after a pause with jitter. Not thread-safe.
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

  /// Returns when Tick() is next needed; nothing while a call is awaited.
  std::optional<base::TimePoint> NextDue() const { return m_due; }

  /// Returns the actions decided since the last call, in order.
  std::vector<StoreCallAction> TakeActions();

 private:
  void StartRead();
  void StartWatch();
  void StartCall(StoreCallKind kind, base::Duration wait, base::Duration timeout);
  void OnComplete(base::TimePoint now);
  void OnFailure(base::TimePoint now);
  void Resume(base::TimePoint now);
  bool DoAllWatch() const;
  base::Duration NextPause();

  StoreCallSettings m_settings;
  StoreReaderRole& m_role;
  AliveBalancers m_alive;
  base::RandomSource& m_random;
  base::Duration m_read_timeout;
  base::Duration m_pause_bound;
  std::uint64_t m_last_call = 0;
  std::optional<StartStoreCall> m_call;   // in progress
  std::optional<base::TimePoint> m_due;  // end of a pause
  bool m_may_watch = false;  // the entries are known and the store still has the changes after them
  std::vector<StoreCallAction> m_actions;
};

}  // namespace gaugevalve::placement
