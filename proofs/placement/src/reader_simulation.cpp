#include "reader_simulation.h"

#include <algorithm>
#include <utility>

#include "gaugevalve/placement/duty_rank.h"

namespace gaugevalve::proofs {
namespace {

constexpr base::Duration kStep = std::chrono::milliseconds(100);
constexpr base::Duration kPause = std::chrono::seconds(2);
constexpr base::Duration kReadTime = std::chrono::milliseconds(100);
constexpr placement::StoreCallSettings kCallSettings{.contact_limit = std::chrono::seconds(8)};
constexpr int kStepsPerSecond = 10;

base::SocketAddress AddressOf(std::size_t index) {
  return base::SocketAddress::Ipv4(0x0a000001 + static_cast<std::uint32_t>(index), 7000);
}

std::size_t IndexOf(const base::SocketAddress& address) { return address.address[3] - 1U; }

}  // namespace

ReaderSimulation::ReaderSimulation(const ReaderSimulationSettings& settings) : settings_(settings) {
  balancers_.resize(kBalancers);
  changes_.push_back(now_);
  for (std::size_t index = 0; index < kBalancers; ++index) {
    Start(index);
  }
  for (int second = 0; second < 3; ++second) {
    AdvanceOneSecond();
  }
}

void ReaderSimulation::Start(std::size_t index) {
  Balancer& balancer = balancers_[index];
  const bool is_rejected = balancer.is_rejected;
  const bool is_silent = balancer.is_silent;
  balancer = {};
  balancer.is_rejected = is_rejected;
  balancer.is_silent = is_silent;
  balancer.healthy_since = now_;
  balancer.next_round = now_;
  balancer.core =
      std::make_unique<placement::BalancerCore>(placement::BalancerSettings(), random_, now_);
  balancer.gossip = std::make_unique<placement::BalancerGossip>(
      AddressOf(index), base::Incarnation(random_.NextUint64()), *balancer.core, random_, now_,
      placement::StoreReaderSettings{settings_.change_limit});
  balancer.gossip->SetSeeds({AddressOf(0), AddressOf(1), AddressOf(2)});
  balancer.scheduler = std::make_unique<placement::StoreCallScheduler>(
      kCallSettings, balancer.gossip->Reader(),
      [gossip = balancer.gossip.get(), this] { return gossip->Alive(now_); }, random_);
  balancer.scheduler->Start(now_);
  ExecuteCalls(index);
}

void ReaderSimulation::Advance() {
  now_ += kStep;
  for (std::size_t index = 0; index < kBalancers; ++index) {
    Balancer& balancer = balancers_[index];
    if (balancer.paused_until && now_ >= *balancer.paused_until) {
      balancer.paused_until.reset();
      balancer.healthy_since = now_;
    }
    if (!balancer.paused_until) {
      Run(index);
    }
  }
  Check();
}

void ReaderSimulation::AdvanceOneSecond() {
  for (int step = 0; step < kStepsPerSecond; ++step) {
    Advance();
  }
}

void ReaderSimulation::Run(std::size_t index) {
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
  RunCalls(index);
}

void ReaderSimulation::Take(std::size_t index, const Message& message) {
  Balancer& balancer = balancers_[index];
  const std::uint64_t version = message.greeting.routes_version;
  const bool is_newer = version > balancer.core->Routes().version;
  bool is_new = false;
  Send(index, balancer.gossip->OnGreeting(message.greeting, message.sender, now_, is_new));
  const std::size_t peer = IndexOf(message.sender);
  const bool may_fetch = !broken_links_[index * kBalancers + peer] &&
                         !broken_links_[peer * kBalancers + index] &&
                         !balancers_[peer].paused_until;
  if (is_newer && may_fetch) {
    SetVersion(index, version);
  }
}

void ReaderSimulation::RunCalls(std::size_t index) {
  Balancer& balancer = balancers_[index];
  std::vector<placement::StoreCallId> calls;
  for (const auto& [id, call] : balancer.calls) {
    calls.push_back(id);
  }
  for (const placement::StoreCallId id : calls) {
    const auto call = balancer.calls.find(id);
    if (call != balancer.calls.end()) {
      RunCall(index, call->second);
    }
  }
  const std::optional<base::TimePoint> due = balancer.scheduler->NextDue();
  if (due && now_ >= *due) {
    balancer.scheduler->Tick(now_);
    ExecuteCalls(index);
  }
}

// A store that rejects the balancer also ends its current watch, or lets it hang.
void ReaderSimulation::RunCall(std::size_t index, Call& call) {
  const Balancer& balancer = balancers_[index];
  const base::Duration age = now_ - call.started_at;
  const bool is_read = call.started.kind == placement::StoreCallKind::kRead;
  const std::uint64_t newest = changes_.size();
  call.is_lost = call.is_lost || (balancer.is_rejected && balancer.is_silent);
  if (call.is_lost) {
    if (age >= call.started.timeout) {
      EndCall(index, call.started.call, placement::StoreCallEnd::kUnanswered);
    }
  } else if (balancer.is_rejected && age >= kReadTime) {
    EndCall(index, call.started.call, placement::StoreCallEnd::kRefused);
  } else if (is_read ? age >= kReadTime : newest > call.known_version || age >= call.started.wait) {
    SetVersion(index, newest);
    EndCall(index, call.started.call, placement::StoreCallEnd::kComplete);
  }
}

void ReaderSimulation::EndCall(std::size_t index, placement::StoreCallId call,
                               placement::StoreCallEnd end) {
  Balancer& balancer = balancers_[index];
  balancer.calls.erase(call);
  balancer.scheduler->OnCallEnded(
      call, settings_.detects_failed_calls ? end : placement::StoreCallEnd::kComplete, now_);
  ExecuteCalls(index);
}

void ReaderSimulation::ExecuteCalls(std::size_t index) {
  Balancer& balancer = balancers_[index];
  for (const placement::StoreCallAction& action : balancer.scheduler->TakeActions()) {
    if (const auto* start = std::get_if<placement::StartStoreCall>(&action)) {
      ++calls_;
      balancer.calls[start->call] = {*start, now_, balancer.core->Routes().version, false};
    } else if (const auto* cancel = std::get_if<placement::CancelStoreCall>(&action)) {
      balancer.calls.erase(cancel->call);
    }
  }
}

void ReaderSimulation::SetVersion(std::size_t index, std::uint64_t version) {
  Balancer& balancer = balancers_[index];
  const bool is_first = balancer.core->Routes().version == 0;
  placement::RouteTable routes;
  routes.version = version;
  if (balancer.core->SetRoutes(std::move(routes))) {
    ++changes_seen_;
    Send(index, balancer.gossip->OnNewRoutes(is_first, now_));
  }
}

void ReaderSimulation::Send(std::size_t index,
                            const std::vector<placement::OutgoingGreeting>& greetings) {
  for (const placement::OutgoingGreeting& greeting : greetings) {
    const std::size_t receiver = IndexOf(greeting.receiver);
    if (receiver < kBalancers && !broken_links_[index * kBalancers + receiver]) {
      balancers_[receiver].inbox.push_back({AddressOf(index), greeting.greeting});
    }
  }
}

void ReaderSimulation::Change() { changes_.push_back(now_); }

void ReaderSimulation::Restart(std::uint32_t choice) { Start(choice % kBalancers); }

void ReaderSimulation::PauseOne(std::size_t index) {
  balancers_[index].paused_until = now_ + kPause;
  balancers_[index].healthy_since = now_ + kPause;
}

void ReaderSimulation::Pause(std::uint32_t choice) { PauseOne(choice % kBalancers); }

std::vector<std::size_t> ReaderSimulation::Readers() {
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

void ReaderSimulation::PauseReaders() {
  for (const std::size_t reader : Readers()) {
    PauseOne(reader);
  }
}

void ReaderSimulation::SetStoreRejection(std::size_t index, bool is_rejected, bool is_silent) {
  balancers_[index].is_rejected = is_rejected;
  balancers_[index].is_silent = is_silent;
  balancers_[index].healthy_since = now_;
}

void ReaderSimulation::ToggleStoreRejection(std::uint32_t choice) {
  const std::size_t index = choice % kBalancers;
  SetStoreRejection(index, !balancers_[index].is_rejected, choice / kBalancers % 2 == 0);
}

void ReaderSimulation::RejectReadersAtStore() {
  for (const std::size_t reader : Readers()) {
    SetStoreRejection(reader, true, true);
  }
}

void ReaderSimulation::ToggleStoreSilence() {
  is_store_silent_ = !is_store_silent_;
  for (std::size_t index = 0; index < kBalancers; ++index) {
    SetStoreRejection(index, is_store_silent_, true);
  }
}

void ReaderSimulation::ToggleLink(std::uint32_t choice) {
  const std::size_t link = choice % broken_links_.size();
  broken_links_[link] = !broken_links_[link];
}

void ReaderSimulation::EndFaultsAndSettle() {
  std::fill(broken_links_.begin(), broken_links_.end(), false);
  is_store_silent_ = false;
  for (std::size_t index = 0; index < kBalancers; ++index) {
    if (balancers_[index].is_rejected) {
      SetStoreRejection(index, false, false);
    }
  }
  for (int second = 0; second < 8; ++second) {
    AdvanceOneSecond();
  }
}

void ReaderSimulation::Check() {
  for (std::size_t index = 0; index < kBalancers; ++index) {
    const Balancer& balancer = balancers_[index];
    const std::uint64_t version = balancer.core->Routes().version;
    if (balancer.paused_until || version >= changes_.size()) {
      continue;
    }
    const base::TimePoint begin = std::max(changes_[version], balancer.healthy_since);
    if (now_ - begin > kLimit && !balancer.is_rejected) {
      violation_ = "balancer " + std::to_string(index) + " has no news for longer than the limit";
    }
  }
}

}  // namespace gaugevalve::proofs
