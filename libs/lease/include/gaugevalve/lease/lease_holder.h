// Takes, renews and gives up a lease in the store.
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

// What the holder may believe at one instant.
enum class LeaseStatus : std::uint8_t {
  kNotHeld,  // another holds it, nobody does, or it isn't known
  kHeld,     // held until LeaseView::held_until, whatever the store does
  kLapsed,   // held before; whether the store ended it isn't known. Counts as not held
};

// The answer to "do I hold it?".
struct LeaseView {
  LeaseStatus status = LeaseStatus::kNotHeld;
  FencingToken token{};          // goes with everything the holder sends; 0 unless held
  base::TimePoint held_until{};  // meaningful when held or lapsed
  bool renewal_fails = false;    // the last renewal did not succeed, as in an outage of the store
};

// Marks a request, so that its result is recognised.
using LeaseRequestTag = base::StrongId<struct LeaseRequestTagTag, std::uint64_t>;

// Run this request and report its end with OnResult().
struct LeaseRequest {
  LeaseRequestTag tag;
  store::Request request;
  base::Duration timeout{};
};

// Pure core; not thread-safe. At most one request is under way at a time, besides a revocation.
//
// Safety: the time for which the lease is held counts from *before* the grant or renewal was sent,
// is shortened by the clock's drift and by the safety margin, and is compared with the clock at
// each call of View(). So a holder that was paused sees that it may have lapsed before it acts, and
// no two holders believe at one instant that they hold. What a holder sent before its pause is
// kept out by the receivers' FencingGate.
//
// A lost answer to the acquisition is resolved by reading: the key is attached to our store lease
// or it isn't. During an outage the lease is held until `held_until`, then lapsed; a store that
// still knows it on return lets the holder go on with the same token.
class LeaseHolder {
 public:
  // Throws base::FindingsError when the settings can't work, see LeaseSettings::Check().
  LeaseHolder(LeaseSettings settings, std::uint64_t seed);

  // Begins to try for the lease, and again whenever it is lost.
  void Campaign(base::TimePoint now);

  // Gives the lease up at once and stops trying. The store is told; when it can't be, the lease
  // ends there by itself.
  void Resign(base::TimePoint now);

  // Reports the end of a request. Results of requests no longer awaited are ignored.
  void OnResult(LeaseRequestTag tag, const store::Result& result, base::TimePoint now);

  // Does what is due.
  void Tick(base::TimePoint now);

  // Returns the requests to run, in order, since the last call.
  std::vector<LeaseRequest> TakeRequests();

  // Returns what may be believed at `now`. Ask right before each action.
  LeaseView View(base::TimePoint now) const;

  // Returns when Tick() is next needed or the view changes by itself; nothing when neither is due.
  std::optional<base::TimePoint> NextDue(base::TimePoint now) const;

 private:
  enum class State : std::uint8_t {
    kIdle,           // not trying
    kBackingOff,     // something failed; looks again at due_
    kReadingHolder,  // reads who holds the lease
    kWaiting,        // another holds it; looks again at due_
    kGranting,       // asks for a store lease
    kAcquiring,      // tries to create the key
    kResolving,      // reads whether a lost acquisition took effect
    kResolveLater,   // that read failed; again at due_
    kHeld,           // renews at due_
    kRenewing,       // a renewal is under way
    kVerifying,      // renewed after a lapse; reads whether the key is still ours
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

  bool IsOurs(const store::RangeResponse& response) const;
  void ExtendFrom(base::TimePoint sent_at, std::int64_t ttl_seconds);

  LeaseSettings settings_;
  base::RandomSource random_;
  store::Backoff backoff_;
  State state_ = State::kIdle;
  base::TimePoint due_{};
  base::TimePoint sent_at_{};     // when the request under way was handed out
  base::TimePoint renewed_at_{};  // when the last successful grant or renewal was handed out
  base::TimePoint held_until_{};
  store::LeaseId store_lease_{};  // 0 when there is none
  FencingToken token_{};          // 0 unless the key was ours when last heard of
  bool lapsed_ = false;           // after a lapse the key is read before it is believed again
  bool renewal_fails_ = false;
  std::uint64_t next_tag_ = 1;
  LeaseRequestTag awaited_{};
  std::vector<LeaseRequest> requests_;
};

}  // namespace gaugevalve::lease
