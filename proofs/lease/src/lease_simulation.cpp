#include "lease_simulation.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace gaugevalve::proofs {
namespace {

constexpr const char* kKey = "coordinator";
constexpr std::array<double, LeaseSimulation::kHolders> kDriftSigns{-1, 1, -1};

lease::LeaseSettings HolderSettings(const LeaseSimulationSettings& simulation, std::size_t index) {
  lease::LeaseSettings settings;
  settings.key = kKey;
  settings.holder = "holder" + std::to_string(index);
  settings.ttl = std::chrono::seconds(10);
  settings.renew_interval = std::chrono::seconds(3);
  settings.request_timeout = std::chrono::seconds(2);
  settings.safety_margin = base::Duration::zero();  // the invariants must hold without it
  settings.clock_drift = simulation.assumed_drift;
  return settings;
}

}  // namespace

LeaseSimulation::LeaseSimulation(const LeaseSimulationSettings& settings) : settings_(settings) {
  for (std::size_t index = 0; index < kHolders; ++index) {
    holders_.push_back({lease::LeaseHolder(HolderSettings(settings, index), index + 1),
                        1 + kDriftSigns.at(index) * settings.true_drift,
                        std::chrono::hours(index),
                        false,
                        {},
                        {},
                        {},
                        {}});
  }
  for (std::size_t index = 0; index < kHolders; ++index) {
    Campaign(index);  // also checks the invariant over all holders
  }
}

void LeaseSimulation::AdvanceTime(base::Duration step) {
  now_ += step;
  store_.ExpireLeases(now_);
  CheckMutualExclusion();
}

void LeaseSimulation::RunAlone(std::size_t holder, base::Duration span, Delivery last) {
  constexpr base::Duration kStep = std::chrono::milliseconds(200);
  // Longer than a renewal interval.
  constexpr base::Duration kLongestWait = std::chrono::seconds(4);
  for (base::Duration done{}; done < span; done += kStep) {
    AdvanceTime(kStep);
    Step(holder);
    Deliver(holder, Delivery::kAnswered);
  }
  for (base::Duration done{}; done < kLongestWait && holders_[holder].requests.empty();
       done += kStep) {
    AdvanceTime(kStep);
    Step(holder);
  }
  Deliver(holder, last);
}

void LeaseSimulation::Step(std::size_t holder) {
  Holder& chosen = holders_[holder];
  if (!chosen.paused) {
    chosen.core.Tick(LocalTime(chosen));
    CollectRequests(chosen);
  }
}

void LeaseSimulation::Deliver(std::size_t holder, Delivery delivery) {
  Holder& chosen = holders_[holder];
  if (chosen.paused) {
    return;
  }
  if (!chosen.answers.empty()) {
    const Answer answer = chosen.answers.front();
    chosen.answers.pop_front();
    return HandleAnswer(chosen, answer);
  }
  if (chosen.requests.empty()) {
    return;
  }
  const lease::LeaseRequest request = chosen.requests.front();
  chosen.requests.pop_front();
  const Answer answer{request.tag,
                      ResultOf(request.request, outage_ ? Delivery::kRefused : delivery)};
  if (delivery == Delivery::kAnswerDelayed) {
    chosen.answers.push_back(answer);
  } else {
    HandleAnswer(chosen, answer);
  }
}

void LeaseSimulation::ApplyLateRequest() {
  if (!late_requests_.empty() && !outage_) {
    Apply(late_requests_.front());
    late_requests_.pop_front();
    CheckMutualExclusion();
  }
}

void LeaseSimulation::Decide(std::size_t holder) {
  const Holder& chosen = holders_[holder];
  const lease::LeaseView belief = CurrentView(chosen);
  if (!chosen.paused && belief.status == lease::LeaseStatus::kHeld) {
    actions_.push_back(belief.token);
  }
}

void LeaseSimulation::DeliverAction(std::size_t position) {
  if (actions_.empty()) {
    return;
  }
  const auto chosen = actions_.begin() + static_cast<std::ptrdiff_t>(position % actions_.size());
  const lease::FencingToken token = *chosen;
  actions_.erase(chosen);
  if (gate_.Admit(token) || !settings_.gate_enabled) {
    ++actions_accepted_;
    CheckOrder(token);
  } else {
    ++actions_refused_;
  }
}

void LeaseSimulation::Campaign(std::size_t holder) {
  holders_[holder].core.Campaign(LocalTime(holders_[holder]));
  CollectRequests(holders_[holder]);
}

void LeaseSimulation::Resign(std::size_t holder) {
  if (!holders_[holder].paused) {
    holders_[holder].core.Resign(LocalTime(holders_[holder]));
    CollectRequests(holders_[holder]);
  }
}

void LeaseSimulation::ExpireLeasesEarly() {
  for (const store::LeaseId lease : store_.Leases()) {
    store_.ExpireLease(lease);
  }
}

void LeaseSimulation::Heal() {
  constexpr int kSteps = 120;
  constexpr base::Duration kStep = std::chrono::milliseconds(500);
  outage_ = false;
  for (int step = 0; step < kSteps; ++step) {
    AdvanceTime(kStep);
    ApplyLateRequest();
    for (std::size_t index = 0; index < kHolders; ++index) {
      holders_[index].paused = false;
      Campaign(index);
      Step(index);
      Deliver(index, Delivery::kAnswered);
    }
  }
}

std::size_t LeaseSimulation::CountBelievingHolders() const {
  return static_cast<std::size_t>(std::ranges::count_if(holders_, [this](const Holder& holder) {
    return CurrentView(holder).status == lease::LeaseStatus::kHeld;
  }));
}

base::TimePoint LeaseSimulation::LocalTime(const Holder& holder) const {
  const std::chrono::duration<double, std::micro> elapsed = now_.time_since_epoch();
  return base::TimePoint{} + holder.clock_offset +
         std::chrono::duration_cast<base::Duration>(elapsed * holder.clock_rate);
}

lease::LeaseView LeaseSimulation::CurrentView(const Holder& holder) const {
  return settings_.check_clock ? holder.core.View(LocalTime(holder)) : holder.last_view;
}

store::Result LeaseSimulation::Apply(const store::Request& request) {
  try {
    return store::Result::Ok(store_.Apply(request, now_));
  } catch (const standins::StoreError& error) {
    return store::Result::Failed(store::Outcome::kRefused, store::Reason::kInvalid, error.what());
  }
}

store::Result LeaseSimulation::ResultOf(const store::Request& request, Delivery delivery) {
  const store::Outcome unknown =
      store::ChangesStore(request) ? store::Outcome::kUnknown : store::Outcome::kRefused;
  switch (delivery) {
    case Delivery::kAnswered:
    case Delivery::kAnswerDelayed:
      return Apply(request);
    case Delivery::kRefused:
      return store::Result::Failed(store::Outcome::kRefused, store::Reason::kUnreachable, "");
    case Delivery::kAppliedLate:
      late_requests_.push_back(request);
      break;
    case Delivery::kAnswerLost:
      Apply(request);
      break;
    case Delivery::kRequestLost:
      break;
  }
  return store::Result::Failed(unknown, store::Reason::kConnectionLost, "");
}

void LeaseSimulation::HandleAnswer(Holder& holder, const Answer& answer) {
  holder.core.OnResult(answer.tag, answer.result, LocalTime(holder));
  CollectRequests(holder);
}

void LeaseSimulation::CollectRequests(Holder& holder) {
  for (lease::LeaseRequest& request : holder.core.TakeRequests()) {
    holder.requests.push_back(std::move(request));
  }
  holder.last_view = holder.core.View(LocalTime(holder));
  const lease::FencingToken token = holder.last_view.token;
  if (token != lease::FencingToken{} && token != holder.last_token) {
    ++acquisitions_;
    holder.last_token = token;
  }
  CheckMutualExclusion();
}

void LeaseSimulation::CheckMutualExclusion() {
  if (settings_.early_expiry) {
    return;  // two holders are possible; only the gate keeps the order of actions
  }
  std::ostringstream words;
  for (std::size_t index = 0; index < kHolders; ++index) {
    const lease::LeaseView belief = CurrentView(holders_[index]);
    if (belief.status == lease::LeaseStatus::kHeld) {
      words << " holder " << index << " with token " << belief.token;
    }
  }
  if (CountBelievingHolders() > 1) {
    Fail("at one instant these believe they hold:" + words.str());
  }
}

void LeaseSimulation::CheckOrder(lease::FencingToken token) {
  if (token < newest_accepted_) {
    std::ostringstream words;
    words << "the resource took an action with token " << token << " after one with "
          << newest_accepted_;
    Fail(words.str());
  }
  newest_accepted_ = std::max(newest_accepted_, token);
}

void LeaseSimulation::Fail(std::string words) {
  if (!violation_) {
    violation_ = std::move(words);
  }
}

}  // namespace gaugevalve::proofs
