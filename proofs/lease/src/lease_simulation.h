// Simulation of several lease holders, a store and a guarded resource with all their faults, and
// the oracle that checks the invariants.
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

// Parameters of the simulation, and the protections that can be disabled to check that the oracle
// detects it.
struct LeaseSimulationSettings {
  double true_drift = 0.05;     // actual relative drift between the holders' clocks and the store's
  double assumed_drift = 0.05;  // drift in the holders' settings
  bool gate_enabled = true;     // false: the resource accepts every action
  bool check_clock = true;      // false: holders act on their view as of their last step
  bool early_expiry = false;    // true: the store may end leases before their time
};

// Result of a request to the store.
enum class Delivery : std::uint8_t {
  kAnswered,
  kRefused,        // not applied; the holder gets an error
  kRequestLost,    // not applied; the holder gets no answer
  kAnswerLost,     // applied; the holder gets no answer
  kAnswerDelayed,  // applied now, answered at a later step
  kAppliedLate,    // applied some time later; the holder gets no answer
};

// Runs the real LeaseHolder cores. Each method is one step that the adversary may choose.
class LeaseSimulation {
 public:
  static constexpr std::size_t kHolders = 3;

  explicit LeaseSimulation(const LeaseSimulationSettings& settings);

  void AdvanceTime(base::Duration step);
  // Runs one holder without faults for a time, and then ends its next request with `last`. The
  // other holders do nothing meanwhile.
  void RunAlone(std::size_t holder, base::Duration span, Delivery last);
  void Step(std::size_t holder);
  void Deliver(std::size_t holder, Delivery delivery);
  void ApplyLateRequest();
  void SetPaused(std::size_t holder, bool paused) { holders_[holder].paused = paused; }
  void SetOutage(bool outage) { outage_ = outage; }
  void Decide(std::size_t holder);  // sends an action if the holder regards the lease as held
  void DeliverAction(std::size_t position);  // in any order
  void Campaign(std::size_t holder);
  void Resign(std::size_t holder);
  void ExpireLeasesEarly();

  // Ends every fault and runs the holders for a time.
  void Heal();

  // Returns the first violated invariant; nothing if there is none.
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
    std::deque<Answer> answers;  // not delivered to the holder yet
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

  LeaseSimulationSettings settings_;
  base::TimePoint now_{};  // store time
  standins::MvccStore store_;
  std::vector<Holder> holders_;
  std::deque<store::Request> late_requests_;
  std::vector<lease::FencingToken> actions_;  // sent, but not delivered to the resource yet
  lease::FencingGate gate_;
  lease::FencingToken newest_accepted_{};
  bool outage_ = false;
  std::size_t acquisitions_ = 0;
  std::size_t actions_accepted_ = 0;
  std::size_t actions_refused_ = 0;
  std::optional<std::string> violation_;
};

}  // namespace gaugevalve::proofs
