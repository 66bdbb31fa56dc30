// One TCP connection to the endpoint.
#pragma once

#include <event2/bufferevent.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "endpoint_client.h"
#include "http1_request.h"
#include "http1_response_parser.h"

namespace gaugevalve::agent {

// Carries one exchange at a time. Owned by its EndpointClient, which destroys it from the
// loop once it is over; until then a connection that is over does nothing.
class EndpointConnection final : public Http1ResponseSink {
 public:
  // Starts to connect. Throws std::runtime_error when no socket can be had.
  EndpointConnection(EndpointClient& client, event_base* loop, const base::SocketAddress& endpoint,
                     const EndpointClientOptions& options);
  ~EndpointConnection() override;
  EndpointConnection(const EndpointConnection&) = delete;
  EndpointConnection& operator=(const EndpointConnection&) = delete;

  // Begins an exchange; the connection must be new or idle.
  std::unique_ptr<EndpointExchange> Begin(const quic::RequestHead& head, EndpointEvents& events);

  bool IsIdle() const { return state_ == State::kIdle; }
  bool IsOver() const { return state_ == State::kOver; }

  // For EndpointExchange.
  bool WriteBody(std::span<const std::uint8_t> bytes);
  void FinishBody();
  void PauseReading();
  void ResumeReading();
  // Called when the exchange is destroyed.
  void Abandon();

  // Http1ResponseSink
  void OnResponseHead(const quic::ResponseHead& head) override;
  void OnResponseBody(std::span<const std::uint8_t> bytes) override;

 private:
  enum class State : std::uint8_t { kIdle, kBusy, kOver };

  struct BuffereventDeleter {
    void operator()(bufferevent* buffered) const { bufferevent_free(buffered); }
  };

  static void OnReadable(bufferevent*, void* self);
  static void OnWritable(bufferevent*, void* self);
  static void OnEvent(bufferevent*, short what, void* self);  // NOLINT(google-runtime-int)

  void SendHead(bool is_empty);
  void Write(std::string_view text);
  void ReadInput();
  void FinishAnswer();
  void OnTimeout();
  void OnPeerClosed(const std::string& reason);
  void Fail(ExchangeFailure::Kind kind, const std::string& reason);
  void Close();
  std::size_t InputLength() const;

  EndpointClient& client_;
  EndpointClientOptions options_;
  std::unique_ptr<bufferevent, BuffereventDeleter> buffered_;
  State state_ = State::kIdle;
  bool is_connected_ = false;

  // State of the current exchange.
  EndpointExchange* exchange_ = nullptr;
  EndpointEvents* events_ = nullptr;
  quic::RequestHead head_;
  std::optional<Http1ResponseParser> parser_;
  std::optional<BodyFraming> framing_;  // set once the request's head is written
  bool is_request_complete_ = false;
  bool is_write_blocked_ = false;
  bool has_head_ = false;        // the answer's head has arrived
  bool is_peer_closed_ = false;  // the endpoint closed the connection; input remains to be parsed
};

}  // namespace gaugevalve::agent
