// Several lease holders, a store and a guarded resource in simulated time, with all that can go
// wrong between them, and the oracle that watches them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/lease/fencing_gate.h"
#include "gaugevalve/lease/lease_holder.h"
#include "mvcc_store.h"

namespace gaugevalve::proofs {

// What the world is like, and which protection is taken away to see that the oracle misses it.
struct LeaseWorldSettings {
  double true_drift = 0.05;     // how far the holders' clocks really are from the store's
  double assumed_drift = 0.05;  // what the holders are told
  bool gate_enabled = true;     // false: the resource takes every action
  bool check_clock = true;      // false: holders act on what they believed at their last step
  bool early_expiry = false;    // true: the platform may end leases before their time
};

// How a request to the store ends.
enum class Delivery : std::uint8_t {
  kAnswered,
  kRefused,        // not applied, and the holder is told so
  kRequestLost,    // not applied, the holder doesn't know
  kAnswerLost,     // applied, the holder doesn't know
  kAnswerDelayed,  // applied now, answered at a later step
  kAppliedLate,    // the holder doesn't know; applied some time later
};

// Runs the real LeaseHolder cores. Every method is one step that an adversary may choose.
class LeaseWorld {
 public:
  static constexpr std::size_t kHolders = 3;

  explicit LeaseWorld(const LeaseWorldSettings& settings);

  void AdvanceTime(base::Duration step);
  // Lets one holder work undisturbed for a while, and gives its next request after that this end.
  // The others do nothing meanwhile.
  void RunAlone(std::size_t holder, base::Duration span, Delivery last);
  void Step(std::size_t holder);
  void Deliver(std::size_t holder, Delivery delivery);
  void ApplyLateRequest();
  void SetPaused(std::size_t holder, bool paused) { holders_[holder].paused = paused; }
  void SetOutage(bool outage) { outage_ = outage; }
  void Decide(std::size_t holder);           // sends an action if the holder believes it holds
  void DeliverAction(std::size_t position);  // in any order
  void Campaign(std::size_t holder);
  void Resign(std::size_t holder);
  void ExpireLeasesEarly();

  // Ends every fault and lets the holders run for a while.
  void Heal();

  // Returns what the oracle has seen go wrong; nothing while all is well.
  const std::optional<std::string>& Violation() const { return violation_; }

  std::size_t CountBelievingHolders() const;
  std::size_t Acquisitions() const { return acquisitions_; }
  std::size_t ActionsAccepted() const { return actions_accepted_; }
  std::size_t ActionsRefused() const { return actions_refused_; }

 private:
  struct Answer {
    lease::LeaseRequestTag tag;
    store::Result result;
  };

  struct Holder {
    lease::LeaseHolder core;
    double clock_rate = 1;
    base::Duration clock_offset{};
    bool paused = false;
    std::deque<lease::LeaseRequest> requests;
    std::deque<Answer> answers;  // on their way back
    lease::LeaseView last_view;
    lease::FencingToken last_token;
  };

  base::TimePoint LocalTime(const Holder& holder) const;
  lease::LeaseView CurrentView(const Holder& holder) const;
  store::Result Apply(const store::Request& request);
  store::Result ResultOf(const store::Request& request, Delivery delivery);
  void HandleAnswer(Holder& holder, const Answer& answer);
  void CollectRequests(Holder& holder);
  void CheckMutualExclusion();
  void CheckOrder(lease::FencingToken token);
  void Fail(std::string words);

  LeaseWorldSettings settings_;
  base::TimePoint now_{};  // the store's time line
  standins::MvccStore store_;
  std::vector<Holder> holders_;
  std::deque<store::Request> late_requests_;
  std::vector<lease::FencingToken> actions_;  // on their way to the resource
  lease::FencingGate gate_;
  lease::FencingToken newest_accepted_{};
  bool outage_ = false;
  std::size_t acquisitions_ = 0;
  std::size_t actions_accepted_ = 0;
  std::size_t actions_refused_ = 0;
  std::optional<std::string> violation_;
};

}  // namespace gaugevalve::proofs
