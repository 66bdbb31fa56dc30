// The store client's shell: connections and timers around RequestScheduler. Private.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "gaugevalve/http_client/http_exchange.h"
#include "gaugevalve/store/store_client.h"
#include "gaugevalve/tasks/timer.h"

namespace gaugevalve::store {

// Returns the encoded request as it is posted.
inline http_client::HttpRequest ToHttpRequest(EncodedRequest encoded) {
  return {http_client::Method::kPost, std::move(encoded.path), std::move(encoded.body)};
}

// Carries out the scheduler's actions. Owns a connection per concurrent attempt.
class StoreClientShell {
 public:
  StoreClientShell(event_base* base, const StoreClientSettings& settings, const base::Clock& clock,
                   std::uint64_t seed);

  void Submit(Request request, base::Duration timeout, StoreClient::Callback callback);

  // Returns when a stream may be opened within the budget.
  base::TimePoint ReserveStreamOpening();

  // Returns this process's share of the deployment's rate budget.
  double RequestsPerSecond() const { return requests_per_second_; }

  // Returns the address to use now; after a failure another one.
  const base::SocketAddress& CurrentEndpoint() const;
  void MoveToNextEndpoint();

  event_base* loop() const { return base_; }  // NOLINT(readability-identifier-naming)
  base::TimePoint Now() const { return clock_.Now(); }
  std::uint64_t NextSeed() { return seeds_.NextUint64(); }

 private:
  // One connection and the attempt it carries.
  class Slot final : public http_client::HttpExchangeObserver {
   public:
    Slot(StoreClientShell& owner, const base::SocketAddress& address);
    void Start(const SendAttempt& action);
    void Cancel();
    bool IsFree() const { return !exchange_.IsBusy(); }
    bool Carries(AttemptId attempt) const { return exchange_.IsBusy() && attempt_ == attempt; }
    const base::SocketAddress& Address() const { return address_; }

    void OnHttpAnswer(const http_client::HttpAnswer& answer) override;
    void OnHttpFailure(http_client::TransportFailure failure, const std::string& words) override;

   private:
    StoreClientShell& owner_;
    base::SocketAddress address_;
    http_client::HttpExchange exchange_;
    AttemptId attempt_;
  };

  void Advance();
  void Apply(const SendAttempt& action);
  void Apply(const CancelAttempt& action);
  void Apply(const CompleteRequest& action);
  Slot& FreeSlot();
  void ArmTimer();

  event_base* base_;
  const base::Clock& clock_;
  std::vector<base::SocketAddress> endpoints_;
  std::size_t endpoint_ = 0;
  double requests_per_second_;
  base::RandomSource seeds_;
  RequestScheduler scheduler_;
  tasks::Timer timer_;
  std::vector<std::unique_ptr<Slot>> slots_;
  std::map<RequestId, StoreClient::Callback> callbacks_;
};

}  // namespace gaugevalve::store
