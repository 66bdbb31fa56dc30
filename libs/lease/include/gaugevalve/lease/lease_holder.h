// Acquires, renews and gives up a lease in the store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/strong_id.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/lease/fencing_token.h"
#include "gaugevalve/lease/lease_settings.h"
#include "gaugevalve/store/backoff.h"
#include "gaugevalve/store/request.h"
#include "gaugevalve/store/result.h"

namespace gaugevalve::lease {

// State of the lease at one instant, as far as the holder can know it.
enum class LeaseStatus : std::uint8_t {
  kNotHeld,  // another holder has it, nobody has it, or its state isn't known
  kHeld,     // held until LeaseView::held_until, whatever happens to the store
  kLapsed,   // held before; it is unknown whether the store has ended it. Counts as not held
};

struct LeaseView {
  LeaseStatus status = LeaseStatus::kNotHeld;
  FencingToken token{};          // must be sent with every action of the holder; 0 unless held
  base::TimePoint held_until{};  // valid if held or lapsed
  bool renewal_fails = false;    // the last renewal failed, for example in an outage of the store
};

// Identifies a request, so that its result can be matched to it.
using LeaseRequestTag = base::StrongId<struct LeaseRequestTagTag, std::uint64_t>;

// Request to run on the store. Its result must be passed to OnResult().
struct LeaseRequest {
  LeaseRequestTag tag;
  store::Request request;
  base::Duration timeout{};
};

// Pure core; not thread-safe. At most one request is in progress at a time, besides a revocation.
//
// Safety: the time for which the lease is held counts from *before* the grant or renewal was sent,
// is shortened by the clock drift and by the safety margin, and is compared with the clock at each
// call of View(). So a holder that was paused sees that its lease may have lapsed before it acts,
// and no two holders regard the lease as held at the same instant. Actions that a holder sent
// before a pause are rejected by the FencingGate of the receivers.
//
// If the answer to an acquisition is lost, the key is read: it is attached to this holder's store
// lease or it isn't. During an outage of the store the lease is held until `held_until` and then
// lapses. If the store still has the lease after the outage, the holder continues with the same
// token.
class LeaseHolder {
 public:
  // Throws base::FindingsError if the settings are invalid, see LeaseSettings::Check().
  LeaseHolder(LeaseSettings settings, std::uint64_t seed);

  // Starts to compete for the lease, and does so again whenever it is lost.
  void Campaign(base::TimePoint now);

  // Gives the lease up at once and stops competing for it. The store is told; if that fails, the
  // lease expires there.
  void Resign(base::TimePoint now);

  // Handles the result of a request. Results of requests that are no longer awaited are ignored.
  void OnResult(LeaseRequestTag tag, const store::Result& result, base::TimePoint now);

  // Performs the work that is due.
  void Tick(base::TimePoint now);

  // Returns the requests to run since the last call, in order.
  std::vector<LeaseRequest> TakeRequests();

  // Returns the state of the lease at `now`. Must be called right before each action.
  LeaseView View(base::TimePoint now) const;

  // Returns the time at which Tick() is next due or the view changes without a call; nothing if
  // there is none.
  std::optional<base::TimePoint> NextDue(base::TimePoint now) const;

 private:
  enum class State : std::uint8_t {
    kIdle,           // not competing for the lease
    kBackingOff,     // a request failed; reads the key again at due_
    kReadingHolder,  // reads the key to see whether the lease is held
    kWaiting,        // another holder has the lease; reads the key again at due_
    kGranting,       // requests a store lease
    kAcquiring,      // creates the key
    kResolving,      // reads whether an acquisition without an answer took effect
    kResolveLater,   // that read failed; reads again at due_
    kHeld,           // renews at due_
    kRenewing,       // a renewal is in progress
    kVerifying,      // renewed after a lapse; reads whether the key still belongs to this holder
  };

  void Send(State state, const store::Request& request, base::TimePoint now);
  LeaseRequestTag Queue(const store::Request& request);
  void WaitUntil(State state, base::TimePoint due);
  void BackOff(State state, base::TimePoint now);
  void ReadHolder(base::TimePoint now);
  void Acquire(base::TimePoint now);
  void ReadKey(State state, base::TimePoint now);
  void Renew(base::TimePoint now);
  void Hold(base::Revision create_revision, base::TimePoint now);
  void MarkLost(base::TimePoint now);

  void OnHolderRead(const store::Result& result, base::TimePoint now);
  void OnGranted(const store::Result& result, base::TimePoint now);
  void OnAcquired(const store::Result& result, base::TimePoint now);
  void OnResolved(const store::Result& result, base::TimePoint now);
  void OnRenewed(const store::Result& result, base::TimePoint now);
  void OnVerified(const store::Result& result, base::TimePoint now);

  bool IsOwnKey(const store::RangeResponse& response) const;
  void ExtendFrom(base::TimePoint sent_at, std::int64_t ttl_seconds);

  LeaseSettings settings_;
  base::RandomSource random_;
  store::Backoff backoff_;
  State state_ = State::kIdle;
  base::TimePoint due_{};
  base::TimePoint sent_at_{};     // when the request in progress was handed out
  base::TimePoint renewed_at_{};  // when the last successful grant or renewal was handed out
  base::TimePoint held_until_{};
  store::LeaseId store_lease_{};  // 0 if there is none
  FencingToken token_{};          // 0 unless the key belonged to this holder when last read
  bool lapsed_ = false;  // after a lapse the key must be read before the lease counts as held again
  bool renewal_fails_ = false;
  std::uint64_t next_tag_ = 1;
  LeaseRequestTag awaited_{};
  std::vector<LeaseRequest> requests_;
};

}  // namespace gaugevalve::lease
