/// @file
/// HTTP calls with a time-out.
#pragma once

#include <event2/event.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/http_client/http_exchange.h"
#include "gaugevalve/tasks/timer.h"

namespace gaugevalve::http_client {

/// One call at a time over one connection, with a time-out; a late or lost answer is a failure and
/// the next call uses a new connection. Not thread-safe.
class TimedCall final : public HttpExchangeObserver {
 public:
  using Handler = std::function<void(std::optional<HttpAnswer>)>;

  TimedCall(event_base* loop, const base::SocketAddress& address);

  /// Starts a call; `handler` gets the answer, or nothing when there is none in time.
  void Start(const HttpRequest& request, base::Duration timeout, Handler handler);

  /// Gives the current call up and closes its connection; the handler isn't called. Does nothing
  /// when there is none.
  void Cancel();

  bool IsBusy() const { return m_handler != nullptr; }
  std::uint64_t Count() const { return m_count; }

  /// Tells whether the last call failed since nothing listens at the address.
  bool WasRefused() const { return m_was_refused; }

  void OnHttpAnswer(const HttpAnswer& answer) override;
  void OnHttpFailure(TransportFailure failure, const std::string& words) override;

 private:
  void Finish();

  event_base* m_loop;
  base::SocketAddress m_address;
  std::unique_ptr<HttpExchange> m_exchange;
  Handler m_handler;
  std::optional<HttpAnswer> m_answer;
  tasks::Timer m_timeout;
  tasks::Timer m_finish;  // handlers run outside the exchange's own callbacks
  std::uint64_t m_count = 0;
  bool m_was_refused = false;
};

}  // namespace gaugevalve::http_client
