#include "memory_network.h"

#include <algorithm>
#include <iostream>
#include <set>
#include <stdexcept>

namespace gaugevalve::quic::testing {
namespace {

constexpr base::Duration kLatency = std::chrono::milliseconds(1);
constexpr std::uint64_t kMaxHoldBack = 4;
constexpr std::size_t kMaxStepsAtOneTime = 10'000;

}  // namespace

MemoryNetwork::MemoryNetwork(const NetworkFaults& faults, std::uint64_t seed)
    : faults_(faults), random_(seed) {
  std::cout << "network seed " << seed << '\n';
}

void MemoryNetwork::AddClient(const base::SocketAddress& address, Http3Client& client) {
  clients_[address] = &client;
}

void MemoryNetwork::Carry(const Path& path, std::span<const std::uint8_t> payload) {
  if ((filter && !filter(path, payload)) || random_.NextUnit() < faults_.loss) {
    return;
  }
  const std::size_t copies = random_.NextUnit() < faults_.duplicate ? 2 : 1;
  for (std::size_t copy = 0; copy < copies; ++copy) {
    in_flight_.push({now_ + DrawLatency(), sent_++, path, {payload.begin(), payload.end()}});
  }
}

base::Duration MemoryNetwork::DrawLatency() {
  base::Duration latency = kLatency;
  if (random_.NextUnit() < faults_.reorder) {
    latency += random_.NextJitter(kMaxHoldBack * kLatency);
  }
  return latency;
}

void MemoryNetwork::Deliver(const Datagram& datagram) {
  const Path path{datagram.path.remote, datagram.path.local};  // as the receiver sees it
  const auto client = clients_.find(path.local);
  if (client != clients_.end()) {
    client->second->HandleDatagram(path, datagram.payload, now_);
    return;
  }
  if (server_ == nullptr) {
    return;
  }
  last_outcome = server_->HandleDatagram(path, datagram.payload, now_);
  if (last_outcome == DatagramOutcome::kUnknown && resets_unknown) {
    server_->SendStatelessReset(path, datagram.payload, now_);
  }
}

void MemoryNetwork::FlushAll() {
  if (server_ != nullptr) {
    server_->Flush(now_);
  }
  std::set<Http3Client*> flushed;
  for (const auto& [address, client] : clients_) {
    if (flushed.insert(client).second) {
      client->Flush(now_);
    }
  }
}

base::TimePoint MemoryNetwork::NextEvent() const {
  base::TimePoint next = in_flight_.empty() ? base::TimePoint::max() : in_flight_.top().arrival;
  if (server_ != nullptr) {
    next = std::min(next, server_->NextExpiry().value_or(base::TimePoint::max()));
  }
  for (const auto& [address, client] : clients_) {
    next = std::min(next, client->NextExpiry().value_or(base::TimePoint::max()));
  }
  return next;
}

void MemoryNetwork::Step(base::TimePoint limit) {
  const base::TimePoint next = std::max(now_, std::min(NextEvent(), limit));
  steps_at_now_ = next == now_ ? steps_at_now_ + 1 : 0;
  if (steps_at_now_ > kMaxStepsAtOneTime) {
    throw std::logic_error("time stands still: a timer fires again and again");
  }
  now_ = next;
  while (!in_flight_.empty() && in_flight_.top().arrival <= now_) {
    const Datagram datagram = in_flight_.top();
    in_flight_.pop();
    Deliver(datagram);
  }
  if (server_ != nullptr) {
    server_->HandleExpiry(now_);
  }
  for (const auto& [address, client] : clients_) {
    client->HandleExpiry(now_);
  }
  FlushAll();
}

bool MemoryNetwork::RunUntil(const std::function<bool()>& is_done, base::Duration limit) {
  const base::TimePoint end = now_ + limit;
  FlushAll();
  while (!is_done()) {
    if (now_ >= end) {
      return false;
    }
    Step(end);
  }
  return true;
}

void MemoryNetwork::RunFor(base::Duration span) {
  RunUntil([] { return false; }, span);
}

}  // namespace gaugevalve::quic::testing
