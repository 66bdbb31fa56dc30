#include "gaugevalve/lease/lease_holder.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::lease {

LeaseHolder::LeaseHolder(LeaseSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed), backoff_(settings_.backoff) {
  settings_.Check();
}

void LeaseHolder::Campaign(base::TimePoint now) {
  if (state_ == State::kIdle) {
    ReadHolder(now);
  }
}

void LeaseHolder::Resign(base::TimePoint /*now*/) {
  if (store_lease_ != store::LeaseId{}) {
    const store::Request revocation(store::LeaseRevokeRequest{store_lease_});
    Queue(revocation);
  }
  state_ = State::kIdle;
  awaited_ = LeaseRequestTag{};
  store_lease_ = store::LeaseId{};
  token_ = FencingToken{};
}

void LeaseHolder::OnResult(LeaseRequestTag tag, const store::Result& result, base::TimePoint now) {
  if (tag != awaited_) {
    return;
  }
  awaited_ = LeaseRequestTag{};
  switch (state_) {
    case State::kReadingHolder:
      return OnHolderRead(result, now);
    case State::kGranting:
      return OnGranted(result, now);
    case State::kAcquiring:
      return OnAcquired(result, now);
    case State::kResolving:
      return OnResolved(result, now);
    case State::kRenewing:
      return OnRenewed(result, now);
    case State::kVerifying:
      return OnVerified(result, now);
    case State::kIdle:
    case State::kBackingOff:
    case State::kWaiting:
    case State::kResolveLater:
    case State::kHeld:
      return;
  }
}

void LeaseHolder::Tick(base::TimePoint now) {
  if (token_ != FencingToken{} && now >= held_until_) {
    lapsed_ = true;
  }
  if (now < due_) {
    return;
  }
  switch (state_) {
    case State::kBackingOff:
    case State::kWaiting:
      return ReadHolder(now);
    case State::kResolveLater:
      return ReadKey(State::kResolving, now);
    case State::kHeld:
      return Renew(now);
    case State::kIdle:
    case State::kReadingHolder:
    case State::kGranting:
    case State::kAcquiring:
    case State::kResolving:
    case State::kRenewing:
    case State::kVerifying:
      return;
  }
}

std::vector<LeaseRequest> LeaseHolder::TakeRequests() { return std::exchange(requests_, {}); }

LeaseView LeaseHolder::View(base::TimePoint now) const {
  LeaseView view;
  if (token_ == FencingToken{}) {
    return view;
  }
  view.held_until = held_until_;
  view.renewal_fails = renewal_fails_;
  if (lapsed_ || now >= held_until_) {
    view.status = LeaseStatus::kLapsed;
    return view;
  }
  view.status = LeaseStatus::kHeld;
  view.token = token_;
  return view;
}

std::optional<base::TimePoint> LeaseHolder::NextDue(base::TimePoint now) const {
  std::optional<base::TimePoint> due;
  if (state_ == State::kBackingOff || state_ == State::kWaiting || state_ == State::kResolveLater ||
      state_ == State::kHeld) {
    due = due_;
  }
  if (token_ != FencingToken{} && !lapsed_ && held_until_ > now) {
    due = due ? std::min(*due, held_until_) : held_until_;
  }
  return due;
}

void LeaseHolder::Send(State state, const store::Request& request, base::TimePoint now) {
  state_ = state;
  sent_at_ = now;
  awaited_ = Queue(request);
}

LeaseRequestTag LeaseHolder::Queue(const store::Request& request) {
  const LeaseRequestTag tag{next_tag_++};
  requests_.push_back({tag, request, settings_.request_timeout});
  return tag;
}

void LeaseHolder::WaitUntil(State state, base::TimePoint due) {
  state_ = state;
  due_ = due;
}

void LeaseHolder::BackOff(State state, base::TimePoint now) {
  WaitUntil(state, now + backoff_.Next(random_));
}

void LeaseHolder::ReadHolder(base::TimePoint now) {
  store_lease_ = store::LeaseId{};
  ReadKey(State::kReadingHolder, now);
}

void LeaseHolder::ReadKey(State state, base::TimePoint now) {
  Send(state, store::RangeRequest{.key = settings_.key}, now);
}

void LeaseHolder::Acquire(base::TimePoint now) {
  store::TxnRequest txn;
  txn.compares.push_back({settings_.key, store::CompareTarget::kCreateRevision});
  txn.success.emplace_back(store::PutRequest{settings_.key, settings_.holder, store_lease_});
  txn.failure.emplace_back(store::RangeRequest{.key = settings_.key});
  Send(State::kAcquiring, txn, now);
}

void LeaseHolder::Renew(base::TimePoint now) {
  Send(State::kRenewing, store::LeaseKeepAliveRequest{store_lease_}, now);
}

void LeaseHolder::Hold(base::Revision create_revision, base::TimePoint now) {
  token_ = FencingToken{create_revision.value()};
  lapsed_ = now >= held_until_;
  renewal_fails_ = false;
  backoff_.Reset();
  WaitUntil(State::kHeld, renewed_at_ + settings_.renew_interval);
}

void LeaseHolder::MarkLost(base::TimePoint now) {
  token_ = FencingToken{};
  ReadHolder(now);
}

void LeaseHolder::OnHolderRead(const store::Result& result, base::TimePoint now) {
  if (!result.IsOk()) {
    return BackOff(State::kBackingOff, now);
  }
  backoff_.Reset();
  if (!result.Get<store::RangeResponse>().key_values.empty()) {
    const base::Duration half = settings_.poll_interval / 2;
    return WaitUntil(State::kWaiting, now + half + random_.NextJitter(half));
  }
  Send(State::kGranting, store::LeaseGrantRequest{store::LeaseId{}, settings_.ttl}, now);
}

void LeaseHolder::OnGranted(const store::Result& result, base::TimePoint now) {
  if (!result.IsOk()) {
    // If the lease was granted nevertheless, it expires in the store.
    return BackOff(State::kBackingOff, now);
  }
  const auto& response = result.Get<store::LeaseGrantResponse>();
  store_lease_ = response.id;
  ExtendFrom(sent_at_, response.ttl_seconds);
  Acquire(now);
}

void LeaseHolder::OnAcquired(const store::Result& result, base::TimePoint now) {
  if (result.outcome == store::Outcome::kUnknown) {
    return ReadKey(State::kResolving, now);
  }
  if (!result.IsOk()) {
    return BackOff(State::kBackingOff, now);
  }
  const auto& response = result.Get<store::TxnResponse>();
  if (response.succeeded) {
    return Hold(response.revision, now);
  }
  // The key exists. It belongs to this holder if an earlier acquisition, which seemed lost, arrived
  // late.
  const auto* range = response.responses.empty()
                          ? nullptr
                          : std::get_if<store::RangeResponse>(&response.responses.front());
  if (range != nullptr && IsOwnKey(*range)) {
    return Hold(range->key_values.front().create_revision, now);
  }
  ReadHolder(now);
}

void LeaseHolder::OnResolved(const store::Result& result, base::TimePoint now) {
  if (now >= held_until_) {
    return ReadHolder(now);  // too late to use this store lease
  }
  if (!result.IsOk()) {
    return BackOff(State::kResolveLater, now);
  }
  const auto& response = result.Get<store::RangeResponse>();
  if (response.key_values.empty()) {
    // The first attempt was lost or is still on its way; a new one is safe, as either creates the
    // key for this store lease.
    return Acquire(now);
  }
  if (IsOwnKey(response)) {
    return Hold(response.key_values.front().create_revision, now);
  }
  ReadHolder(now);
}

void LeaseHolder::OnRenewed(const store::Result& result, base::TimePoint now) {
  lapsed_ = lapsed_ || now >= held_until_;
  renewal_fails_ = !result.IsOk();
  if (!result.IsOk()) {
    return BackOff(State::kHeld, now);
  }
  const auto& response = result.Get<store::LeaseKeepAliveResponse>();
  if (response.ttl_seconds <= 0) {
    return MarkLost(now);
  }
  backoff_.Reset();
  ExtendFrom(sent_at_, response.ttl_seconds);
  if (lapsed_) {
    return ReadKey(State::kVerifying, now);
  }
  WaitUntil(State::kHeld, renewed_at_ + settings_.renew_interval);
}

void LeaseHolder::OnVerified(const store::Result& result, base::TimePoint now) {
  if (!result.IsOk()) {
    renewal_fails_ = true;
    return BackOff(State::kHeld, now);
  }
  const auto& response = result.Get<store::RangeResponse>();
  if (!IsOwnKey(response)) {
    return MarkLost(now);
  }
  Hold(response.key_values.front().create_revision, now);
}

bool LeaseHolder::IsOwnKey(const store::RangeResponse& response) const {
  return !response.key_values.empty() && response.key_values.front().lease == store_lease_;
}

void LeaseHolder::ExtendFrom(base::TimePoint sent_at, std::int64_t ttl_seconds) {
  const std::chrono::duration<double> certain =
      std::chrono::seconds(ttl_seconds) * (1 - settings_.clock_drift);
  renewed_at_ = sent_at;
  held_until_ =
      sent_at + std::chrono::duration_cast<base::Duration>(certain) - settings_.safety_margin;
}

}  // namespace gaugevalve::lease
