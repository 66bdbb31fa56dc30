#include "reader_world.h"

#include <algorithm>
#include <utility>

#include "gaugevalve/placement/duty_rank.h"

namespace gaugevalve::proofs {
namespace {

constexpr base::Duration kStep = std::chrono::milliseconds(100);
constexpr base::Duration kPause = std::chrono::seconds(2);
constexpr base::Duration kReadTime = std::chrono::milliseconds(100);
constexpr base::Duration kCallTimeout = std::chrono::milliseconds(700);
constexpr int kStepsInASecond = 10;

base::SocketAddress AddressOf(std::size_t index) {
  return base::SocketAddress::Ipv4(0x0a000001 + static_cast<std::uint32_t>(index), 7000);
}

std::size_t IndexOf(const base::SocketAddress& address) { return address.address[3] - 1U; }

}  // namespace

ReaderWorld::ReaderWorld(const ReaderWorldSettings& settings) : settings_(settings) {
  balancers_.resize(kBalancers);
  changes_.push_back(now_);
  for (std::size_t index = 0; index < kBalancers; ++index) {
    Start(index);
  }
  for (int second = 0; second < 3; ++second) {
    Rest();
  }
}

void ReaderWorld::Start(std::size_t index) {
  Balancer& balancer = balancers_[index];
  const bool is_turned_away = balancer.is_turned_away;
  const bool is_silent = balancer.is_silent;
  balancer = {};
  balancer.is_turned_away = is_turned_away;
  balancer.is_silent = is_silent;
  balancer.undisturbed_since = now_;
  balancer.next_round = now_;
  balancer.core =
      std::make_unique<placement::BalancerCore>(placement::BalancerSettings(), random_, now_);
  balancer.gossip = std::make_unique<placement::BalancerGossip>(
      AddressOf(index), base::Incarnation(random_.NextUint64()), *balancer.core, random_, now_,
      placement::StoreReaderSettings{settings_.change_limit});
  balancer.gossip->SetSeeds({AddressOf(0), AddressOf(1), AddressOf(2)});
}

void ReaderWorld::Advance() {
  now_ += kStep;
  for (std::size_t index = 0; index < kBalancers; ++index) {
    Balancer& balancer = balancers_[index];
    if (balancer.paused_until && now_ >= *balancer.paused_until) {
      balancer.paused_until.reset();
      balancer.undisturbed_since = now_;
    }
    if (!balancer.paused_until) {
      Run(index);
    }
  }
  Check();
}

void ReaderWorld::Rest() {
  for (int step = 0; step < kStepsInASecond; ++step) {
    Advance();
  }
}

void ReaderWorld::Run(std::size_t index) {
  Balancer& balancer = balancers_[index];
  std::deque<Message> inbox = std::exchange(balancer.inbox, {});
  for (const Message& message : inbox) {
    Take(index, message);
  }
  balancer.core->Tick(now_);
  Send(index, balancer.gossip->Tick(now_));
  if (now_ >= balancer.next_round) {
    Send(index, balancer.gossip->PeerRound(now_));
    balancer.next_round = now_ + balancer.gossip->PeerPeriod(now_);
  }
  if (balancer.call_ends) {
    EndCall(index);
  } else if (balancer.gossip->Reader().ShouldRead(balancer.gossip->Alive(now_), now_)) {
    CallStore(index);
  }
}

void ReaderWorld::Take(std::size_t index, const Message& message) {
  Balancer& balancer = balancers_[index];
  const std::uint64_t version = message.greeting.routes_version;
  const bool is_newer = version > balancer.core->Routes().version;
  bool is_new = false;
  Send(index, balancer.gossip->OnGreeting(message.greeting, message.sender, now_, is_new));
  const std::size_t peer = IndexOf(message.sender);
  const bool may_fetch = !cuts_[index * kBalancers + peer] && !cuts_[peer * kBalancers + index] &&
                         !balancers_[peer].paused_until;
  if (is_newer && may_fetch) {
    SetVersion(index, version);
  }
}

void ReaderWorld::CallStore(std::size_t index) {
  Balancer& balancer = balancers_[index];
  ++calls_;
  placement::StoreReaderRole& reader = balancer.gossip->Reader();
  const std::uint64_t version = balancer.core->Routes().version;
  const bool is_watch = version > 0 && !reader.IsStale(now_);
  balancer.watched = is_watch ? version : 0;
  balancer.call_fails = balancer.is_turned_away;
  if (balancer.call_fails) {
    balancer.call_ends = now_ + (balancer.is_silent ? kCallTimeout : kReadTime);
  } else {
    balancer.call_ends = now_ + (is_watch ? reader.WatchTimeout() : kReadTime);
  }
}

void ReaderWorld::EndCall(std::size_t index) {
  Balancer& balancer = balancers_[index];
  // A store that turns the machine away cuts its watch, or lets it hang.
  balancer.call_fails = balancer.call_fails || balancer.is_turned_away;
  const std::uint64_t newest = changes_.size();
  const bool has_news = !balancer.call_fails && balancer.watched > 0 && newest > balancer.watched;
  if (now_ < *balancer.call_ends && !has_news) {
    return;
  }
  balancer.call_ends.reset();
  if (balancer.call_fails && !settings_.tells_refusals_apart) {
    balancer.gossip->Reader().NoteContact(now_);
    return;
  }
  if (balancer.call_fails) {
    balancer.gossip->Reader().NoteFailure(balancer.gossip->Alive(now_), now_);
    return;
  }
  SetVersion(index, newest);
  balancer.gossip->Reader().NoteContact(now_);
}

void ReaderWorld::SetVersion(std::size_t index, std::uint64_t version) {
  Balancer& balancer = balancers_[index];
  const bool is_first = balancer.core->Routes().version == 0;
  placement::RouteTable routes;
  routes.version = version;
  if (balancer.core->SetRoutes(std::move(routes))) {
    ++changes_seen_;
    Send(index, balancer.gossip->OnNewRoutes(is_first, now_));
  }
}

void ReaderWorld::Send(std::size_t index,
                       const std::vector<placement::OutgoingGreeting>& greetings) {
  for (const placement::OutgoingGreeting& greeting : greetings) {
    const std::size_t receiver = IndexOf(greeting.receiver);
    if (receiver < kBalancers && !cuts_[index * kBalancers + receiver]) {
      balancers_[receiver].inbox.push_back({AddressOf(index), greeting.greeting});
    }
  }
}

void ReaderWorld::Change() { changes_.push_back(now_); }

void ReaderWorld::Restart(std::uint32_t choice) { Start(choice % kBalancers); }

void ReaderWorld::PauseOne(std::size_t index) {
  balancers_[index].paused_until = now_ + kPause;
  balancers_[index].undisturbed_since = now_ + kPause;
}

void ReaderWorld::Pause(std::uint32_t choice) { PauseOne(choice % kBalancers); }

std::vector<std::size_t> ReaderWorld::Readers() {
  std::vector<placement::BalancerAge> all;
  for (std::size_t index = 0; index < kBalancers; ++index) {
    all.push_back({AddressOf(index), base::Duration(0)});
  }
  std::vector<std::size_t> readers;
  for (std::size_t index = 0; index < kBalancers; ++index) {
    if (placement::DutyRank("store reader", AddressOf(index), all) <
        placement::StoreReaderRole::kReaders) {
      readers.push_back(index);
    }
  }
  return readers;
}

void ReaderWorld::PauseReaders() {
  for (const std::size_t reader : Readers()) {
    PauseOne(reader);
  }
}

void ReaderWorld::SetTurnedAway(std::size_t index, bool is_turned_away, bool is_silent) {
  balancers_[index].is_turned_away = is_turned_away;
  balancers_[index].is_silent = is_silent;
  balancers_[index].undisturbed_since = now_;
}

void ReaderWorld::TurnAway(std::uint32_t choice) {
  const std::size_t index = choice % kBalancers;
  SetTurnedAway(index, !balancers_[index].is_turned_away, choice / kBalancers % 2 == 0);
}

void ReaderWorld::TurnReadersAway() {
  for (const std::size_t reader : Readers()) {
    SetTurnedAway(reader, true, true);
  }
}

void ReaderWorld::Cut(std::uint32_t choice) {
  const std::size_t link = choice % cuts_.size();
  cuts_[link] = !cuts_[link];
}

void ReaderWorld::Heal() {
  std::fill(cuts_.begin(), cuts_.end(), false);
  for (std::size_t index = 0; index < kBalancers; ++index) {
    if (balancers_[index].is_turned_away) {
      SetTurnedAway(index, false, false);
    }
  }
  for (int second = 0; second < 8; ++second) {
    Rest();
  }
}

void ReaderWorld::Check() {
  for (std::size_t index = 0; index < kBalancers; ++index) {
    const Balancer& balancer = balancers_[index];
    const std::uint64_t version = balancer.core->Routes().version;
    if (balancer.paused_until || version >= changes_.size()) {
      continue;
    }
    const base::TimePoint begin = std::max(changes_[version], balancer.undisturbed_since);
    if (now_ - begin > kLimit && !balancer.is_turned_away) {
      violation_ = "balancer " + std::to_string(index) + " has no news for longer than the limit";
    }
  }
}

}  // namespace gaugevalve::proofs
