#include "balancer_fleet.h"

#include <algorithm>
#include <string>

#include "gaugevalve/settings/store_layout.h"

namespace gaugevalve::proofs {
namespace {

constexpr std::size_t kMostBalancers = 4;

std::string LeaseKey() { return std::string(settings::kCoordinatorLeaseKey); }

}  // namespace

void BalancerFleet::Start() {
  Join(kNewerRelease);
  MoveLease(0);
  OnAnswer(0, store_->Run(*Work(0)));
}

void BalancerFleet::Join(std::uint32_t release) {
  if (balancers_.size() < kMostBalancers) {
    balancers_.push_back({release, false});
    AdmitBalancers();
  }
}

void BalancerFleet::Leave(std::size_t place) {
  if (balancers_.size() > 1) {
    balancers_.erase(balancers_.begin() + 1 +
                     static_cast<std::ptrdiff_t>(place % (balancers_.size() - 1)));
  }
}

void BalancerFleet::MoveLease(std::size_t who) {
  least_seen_[holder_] = Least();
  holder_ = who;
  store_->Put(LeaseKey(), std::to_string(who));
  keepers_[who].OnLeaseHeld({LeaseKey(), store_->Read({LeaseKey()}).front().mod_revision});
}

std::optional<settings::StoreTransaction> BalancerFleet::Work(std::size_t who) {
  now_ += std::chrono::minutes(1);
  least_seen_[holder_] = Least();
  std::optional<settings::StoreTransaction> transaction =
      keepers_[who].Tick(least_seen_[who], now_);
  if (transaction && mutation_ == Mutation::kUnfencedCoordinator) {
    std::erase_if(transaction->conditions,
                  [](const settings::KeyCondition& each) { return each.key == LeaseKey(); });
  }
  PublishRoster(who);
  return transaction;
}

void BalancerFleet::OnAnswer(std::size_t who, const settings::StoreTransactionAnswer& answer) {
  keepers_[who].OnAnswer(answer, now_);
  PublishRoster(who);
}

void BalancerFleet::OnAnswerLost(std::size_t who, const ModelStore* store) {
  if (mutation_ == Mutation::kTrustLookUp && store != nullptr) {
    const std::vector<settings::StoredEntry> read =
        store->Read({std::string(settings::kCapabilitiesKey)});
    keepers_[who].OnAnswer({false, read}, now_);
    const std::optional<settings::StoreTransaction> believed =
        keepers_[who].Tick(least_seen_[who], now_);
    if (believed) {
      keepers_[who].OnAnswer({true, {}}, now_);
    }
  } else {
    keepers_[who].OnAnswerLost(now_);
  }
  PublishRoster(who);
}

bool BalancerFleet::Understands(std::uint32_t schema_version) const {
  return std::all_of(balancers_.begin(), balancers_.end(), [&](const Balancer& balancer) {
    return !balancer.is_in_service || balancer.release >= schema_version;
  });
}

std::uint32_t BalancerFleet::Least() const {
  return std::min_element(balancers_.begin(), balancers_.end(),
                          [](const Balancer& left, const Balancer& right) {
                            return left.release < right.release;
                          })
      ->release;
}

void BalancerFleet::PublishRoster(std::size_t who) {
  if (who == holder_) {
    must_understand_ = keepers_[who].Bound().value_or(must_understand_);
    AdmitBalancers();
  }
}

void BalancerFleet::AdmitBalancers() {
  for (Balancer& balancer : balancers_) {
    const bool counted = balancer.release >= must_understand_;
    balancer.is_in_service =
        balancer.is_in_service || counted || mutation_ == Mutation::kServeUncounted;
  }
}

}  // namespace gaugevalve::proofs
