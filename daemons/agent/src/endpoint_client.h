// HTTP/1.1 requests to the endpoint beside the agent, over loopback, streamed both ways.
#pragma once

#include <event2/event.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "exchange.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/quic/http.h"
#include "gaugevalve/tasks/timer.h"

namespace gaugevalve::agent {

class EndpointConnection;

// Why an exchange received no complete answer.
struct ExchangeFailure {
  enum class Kind : std::uint8_t {
    kNotSent,          // no connection: no byte of the request was sent
    kBroken,           // the connection ended before the answer's head: the outcome is unknown
    kCutAnswer,        // the connection ended within the answer
    kMalformedAnswer,  // the received bytes are not a valid HTTP/1.1 answer
  };

  Kind kind = Kind::kBroken;
  std::string reason;  // for logs
};

// Returns the kind's name in logs and metrics, in snake_case.
std::string_view ToString(ExchangeFailure::Kind kind);

// Receives the events of one exchange. Exactly one of OnAnswerEnd() and OnExchangeFailed() is
// called, last, unless the exchange is destroyed first, which each method may do.
class EndpointEvents {
 public:
  virtual ~EndpointEvents() = default;

  virtual void OnAnswerHead(const quic::ResponseHead& head) = 0;
  // The bytes are valid during the call only.
  virtual void OnAnswerBody(std::span<const std::uint8_t> bytes) = 0;
  // The answer is complete.
  virtual void OnAnswerEnd() = 0;
  virtual void OnExchangeFailed(const ExchangeFailure& failure) = 0;
  // The send buffer has room again after WriteBody() returned false.
  virtual void OnRequestWritable() = 0;
};

// One request at the endpoint. Destroying it before its answer is complete cancels it: its
// connection is closed, so that a late answer is discarded. Otherwise the connection may serve
// another exchange.
class EndpointExchange final : public Exchange {
 public:
  explicit EndpointExchange(EndpointConnection& connection) : connection_(&connection) {}
  ~EndpointExchange() override;

  bool WriteBody(std::span<const std::uint8_t> bytes) override;
  void FinishBody() override;
  void PauseReading() override;
  void ResumeReading() override;

 private:
  friend class EndpointConnection;
  void Detach() { connection_ = nullptr; }

  EndpointConnection* connection_;  // null once it is over
};

// Limits of an EndpointClient.
struct EndpointClientOptions {
  std::size_t max_connections = 2000;         // in use at once; more requests are not sent
  std::size_t max_idle_connections = 32;      // kept for the next requests
  std::size_t write_high_water = 256 * 1024;  // unsent bytes of a request's body
  base::Duration connect_timeout = std::chrono::seconds(2);
  // Shorter than the usual idle time-out of servers, so that a request is rarely sent on a
  // connection that the server is closing.
  base::Duration idle_timeout = std::chrono::seconds(2);
};

// Connections to one endpoint, each with one exchange at a time. Never sends a request twice. On
// one libevent loop and its thread; callbacks come from the loop, never from within a call.
class EndpointClient {
 public:
  // `loop` must outlive the client, and the client its exchanges.
  EndpointClient(event_base* loop, const base::SocketAddress& endpoint,
                 const EndpointClientOptions& options);
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;

  // Starts an exchange on an idle or a new connection. `events` must outlive it. Returns null when
  // max_connections are in use or no socket can be had: nothing was sent. The head must pass
  // IsWritable().
  std::unique_ptr<EndpointExchange> Start(const quic::RequestHead& head, EndpointEvents& events);

  std::size_t ConnectionCount() const { return connections_.size(); }
  std::size_t IdleCount() const;

 private:
  friend class EndpointConnection;

  // A connection is over, or has become idle. It is destroyed later, from the loop.
  void OnConnectionOver();
  bool MayKeepIdle() const { return IdleCount() <= options_.max_idle_connections; }
  void Sweep();

  event_base* loop_;
  base::SocketAddress endpoint_;
  EndpointClientOptions options_;
  std::vector<std::unique_ptr<EndpointConnection>> connections_;
  tasks::Timer sweep_timer_;
};

}  // namespace gaugevalve::agent
