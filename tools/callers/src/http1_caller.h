// A Caller over HTTP/1.1 that asks an endpoint straight, past the system, for comparison.
#pragma once

#include <event2/event.h>

#include "caller.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/http_client/http_exchange.h"

namespace gaugevalve::callers {

// One kept-alive connection with one request at a time. Sends no key and no deadline.
class Http1Caller final : public Caller, private http_client::HttpExchangeObserver {
 public:
  // `loop` must outlive this.
  Http1Caller(event_base* loop, const base::SocketAddress& address);

  void OnTick() override {}
  bool IsReady() const override { return !exchange_.IsBusy(); }
  bool Send(const AttemptRequest& request, Done done) override;
  void OnGivenUp() override {}
  void Close() override { exchange_.Cancel(); }

 private:
  // http_client::HttpExchangeObserver
  void OnHttpAnswer(const http_client::HttpAnswer& answer) override;
  void OnHttpFailure(http_client::TransportFailure failure, const std::string& words) override;

  void Finish(load::CallerOutcome outcome);

  http_client::HttpExchange exchange_;
  Done done_;
};

}  // namespace gaugevalve::callers
