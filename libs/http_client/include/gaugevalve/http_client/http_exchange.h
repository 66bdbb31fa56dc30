// One HTTP connection to a service of the platform, carrying one exchange at a time.
#pragma once

#include <event2/http.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/http_client/http_types.h"

namespace gaugevalve::http_client {

// What the owner of an HttpExchange hears. None may destroy the exchange or start it again.
class HttpExchangeObserver {
 public:
  virtual ~HttpExchangeObserver() = default;

  // A piece of the body of a 200 answer, when the exchange is a stream.
  virtual void OnBodyPiece(std::string_view /*piece*/) {}

  // The whole answer; the body is empty when it was delivered in pieces.
  virtual void OnHttpAnswer(const HttpAnswer& answer) = 0;

  // The exchange failed without a whole answer.
  virtual void OnHttpFailure(TransportFailure failure, const std::string& words) = 0;
};

// Talks to one address over a kept-alive connection, by libevent's HTTP client. It sends a request
// once and never again by itself. Time-outs are its owner's business: the decision core's. Not
// thread-safe: everything runs on the event loop's thread. The observer must outlive it.
class HttpExchange {
 public:
  enum class Kind : std::uint8_t { kAnswer, kStream };

  static constexpr std::size_t kBodyLimit = std::size_t{8} * 1024 * 1024;

  // Throws std::bad_alloc when the connection can't be made.
  HttpExchange(event_base* base, const base::SocketAddress& address, Kind kind,
               HttpExchangeObserver& observer);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // Sends the request; one at a time. Returns false when it could not even be started.
  bool Start(const HttpRequest& request);

  // Gives up the running request; nothing more is reported about it.
  void Cancel();

  bool IsBusy() const { return request_ != nullptr; }

 private:
  struct ConnectionDeleter {
    void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
  };

  static void OnDone(evhttp_request* request, void* self);
  static void OnError(evhttp_request_error error, void* self);
  static void OnChunk(evhttp_request* request, void* self);
  void AddContent(evhttp_request* request, const HttpRequest& content) const;
  void Finish(evhttp_request* request);

  base::SocketAddress address_;
  Kind kind_;
  HttpExchangeObserver& observer_;
  std::unique_ptr<evhttp_connection, ConnectionDeleter> connection_;
  evhttp_request* request_ = nullptr;  // owned by connection_ while set
  std::string error_words_;            // set when the running request failed after connecting
};

}  // namespace gaugevalve::http_client
