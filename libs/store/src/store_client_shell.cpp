#include "store_client_shell.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace gaugevalve::store {

using http_client::HttpAnswer;
using http_client::HttpExchange;
using http_client::TransportFailure;

StoreClientShell::Slot::Slot(StoreClientShell& owner, const base::SocketAddress& address)
    : owner_(owner),
      address_(address),
      exchange_(owner.base_, address, HttpExchange::Kind::kAnswer, *this) {}

void StoreClientShell::Slot::Start(const SendAttempt& action) {
  attempt_ = action.attempt;
  if (!exchange_.Start(ToHttpRequest(action.encoded))) {
    owner_.MoveToNextEndpoint();
    owner_.scheduler_.OnAttemptFailed(attempt_, TransportFailure::kNotSent, "can't connect",
                                      owner_.Now());
  }
}

void StoreClientShell::Slot::Cancel() { exchange_.Cancel(); }

void StoreClientShell::Slot::OnHttpAnswer(const HttpAnswer& answer) {
  owner_.scheduler_.OnAnswer(attempt_, answer, owner_.Now());
  owner_.timer_.StartOnce(base::Duration::zero());
}

void StoreClientShell::Slot::OnHttpFailure(TransportFailure failure, const std::string& words) {
  owner_.MoveToNextEndpoint();
  owner_.scheduler_.OnAttemptFailed(attempt_, failure, words, owner_.Now());
  owner_.timer_.StartOnce(base::Duration::zero());
}

StoreClientShell::StoreClientShell(event_base* base, const StoreClientSettings& settings,
                                   const base::Clock& clock, std::uint64_t seed)
    : base_(base),
      clock_(clock),
      endpoints_(settings.endpoints),
      requests_per_second_(settings.scheduler.requests_per_second),
      seeds_(seed),
      scheduler_(settings.scheduler, seeds_.NextUint64()),
      timer_(base, [this] { Advance(); }) {
  if (endpoints_.empty()) {
    throw std::invalid_argument("the store client needs at least one endpoint");
  }
  endpoint_ = seeds_.NextBelow(endpoints_.size());
}

void StoreClientShell::Submit(Request request, base::Duration timeout,
                              StoreClient::Callback callback) {
  const base::TimePoint now = Now();
  const RequestId id = scheduler_.Submit(std::move(request), now + timeout, now);
  callbacks_.emplace(id, std::move(callback));
  timer_.StartOnce(base::Duration::zero());
}

base::TimePoint StoreClientShell::ReserveStreamOpening() {
  return scheduler_.ReserveStreamOpening(Now());
}

const base::SocketAddress& StoreClientShell::CurrentEndpoint() const {
  return endpoints_[endpoint_];
}

void StoreClientShell::MoveToNextEndpoint() { endpoint_ = (endpoint_ + 1) % endpoints_.size(); }

void StoreClientShell::Advance() {
  scheduler_.Tick(Now());
  std::vector<SchedulerAction> actions = scheduler_.TakeActions();
  while (!actions.empty()) {
    for (const SchedulerAction& action : actions) {
      std::visit([this](const auto& typed) { Apply(typed); }, action);
    }
    actions = scheduler_.TakeActions();
  }
  ArmTimer();
}

void StoreClientShell::Apply(const SendAttempt& action) { FreeSlot().Start(action); }

void StoreClientShell::Apply(const CancelAttempt& action) {
  for (const auto& slot : slots_) {
    if (slot->Carries(action.attempt)) {
      slot->Cancel();
      MoveToNextEndpoint();
    }
  }
}

void StoreClientShell::Apply(const CompleteRequest& action) {
  auto node = callbacks_.extract(action.request);
  if (!node.empty()) {
    node.mapped()(action.result);
  }
}

StoreClientShell::Slot& StoreClientShell::FreeSlot() {
  const auto found = std::ranges::find_if(slots_, [](const auto& slot) { return slot->IsFree(); });
  if (found == slots_.end()) {
    return *slots_.emplace_back(std::make_unique<Slot>(*this, CurrentEndpoint()));
  }
  if ((*found)->Address() != CurrentEndpoint()) {
    *found = std::make_unique<Slot>(*this, CurrentEndpoint());
  }
  return **found;
}

void StoreClientShell::ArmTimer() {
  const base::TimePoint now = Now();
  const std::optional<base::TimePoint> due = scheduler_.NextDue(now);
  if (due) {
    timer_.StartOnce(std::max(*due - now, base::Duration::zero()));
  } else {
    timer_.Cancel();
  }
}

}  // namespace gaugevalve::store
