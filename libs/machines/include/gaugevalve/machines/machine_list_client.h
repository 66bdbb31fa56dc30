// Follows the platform's machine list over HTTP on an event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/http_client/http_exchange.h"
#include "gaugevalve/machines/machine_list_poller.h"
#include "gaugevalve/tasks/timer.h"

struct event_base;

namespace gaugevalve::machines {

// The shell of MachineListPoller. Not thread-safe: everything runs on the event loop's thread.
class MachineListClient final : private http_client::HttpExchangeObserver {
 public:
  // Called on the event loop with each newer list and with what was wrong in it.
  using Callback = std::function<void(const ParsedMachineList&)>;

  // The path at which the platform serves the list.
  static constexpr const char* kPath = "/machines";

  // `loop` and `clock` must outlive the client. The first fetch starts at once.
  MachineListClient(event_base* loop, const base::SocketAddress& address, const base::Clock& clock,
                    const MachineListPollerSettings& settings, std::uint64_t seed,
                    Callback on_list);

  // Returns how many fetches in a row have brought nothing readable.
  std::uint64_t ConsecutiveFailures() const { return poller_.ConsecutiveFailures(); }

 private:
  void OnHttpAnswer(const http_client::HttpAnswer& answer) override;
  void OnHttpFailure(http_client::TransportFailure failure, const std::string& words) override;
  void Advance();
  void ArmTimer();

  const base::Clock& clock_;
  MachineListPoller poller_;
  Callback on_list_;
  tasks::Timer timer_;
  http_client::HttpExchange exchange_;
};

}  // namespace gaugevalve::machines
