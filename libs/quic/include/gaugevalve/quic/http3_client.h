// The client's end of one QUIC connection that carries HTTP/3, for the load tool and tests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "gaugevalve/base/time.h"
#include "gaugevalve/quic/connection_end.h"
#include "gaugevalve/quic/credentials.h"
#include "gaugevalve/quic/datagram_sink.h"
#include "gaugevalve/quic/http.h"
#include "gaugevalve/quic/response_handler.h"

namespace gaugevalve::quic {

// How a client connects.
struct Http3ClientOptions {
  Path path;
  std::string server_name;        // checked against the certificate if there are trust anchors
  ClientCredentials credentials;  // see MakeClientCredentials()
  std::size_t stream_window = 1024 * 1024;  // answer bytes in flight, each stream
  std::size_t connection_window = 8 * 1024 * 1024;
  std::size_t send_high_water = 256 * 1024;
  base::Duration idle_timeout = std::chrono::seconds(30);
};

// What an application sees of the connection itself.
class ClientEvents {
 public:
  virtual ~ClientEvents() = default;

  // The handshake is done: requests can be submitted.
  virtual void OnConnected() {}

  // The server is leaving: requests in progress go on, new ones need a new connection.
  virtual void OnGoaway() {}

  // The connection is gone. Every request in progress was told OnFailed() before. Must not destroy
  // the client.
  virtual void OnClosed(const ConnectionEnd& end) { static_cast<void>(end); }
};

// Names a request of one client.
using RequestId = std::int64_t;

// One connection. Like Http3Server it knows no sockets and no clock; UdpClient drives it on
// libevent. Not thread-safe.
class Http3Client {
 public:
  // `sink` and `events` must outlive the client. Starts no handshake: Connect() does.
  Http3Client(Http3ClientOptions options, DatagramSink& sink, ClientEvents& events);
  ~Http3Client();
  Http3Client(const Http3Client&) = delete;
  Http3Client& operator=(const Http3Client&) = delete;

  // Starts the handshake. Throws std::runtime_error when TLS can't be set up.
  void Connect(base::TimePoint now);

  void HandleDatagram(const Path& path, std::span<const std::uint8_t> datagram,
                      base::TimePoint now);
  void HandleExpiry(base::TimePoint now);
  std::optional<base::TimePoint> NextExpiry() const;

  // Sends what was submitted or written since the last call.
  void Flush(base::TimePoint now);

  // Submits a request with its whole body. Returns nothing, and destroys the handler uncalled, when
  // the connection takes none now: not connected yet, closed, after GOAWAY, or with all streams
  // that the server allows in use.
  std::optional<RequestId> SubmitRequest(const RequestHead& head,
                                         std::span<const std::uint8_t> body,
                                         std::unique_ptr<ResponseHandler> handler);

  // The same with a body that follows by WriteBody() and FinishBody().
  std::optional<RequestId> SubmitStreamedRequest(const RequestHead& head,
                                                 std::unique_ptr<ResponseHandler> handler);

  // Queues body bytes; returns false at the high-water mark or when the request is gone.
  bool WriteBody(RequestId request, std::span<const std::uint8_t> bytes);
  void FinishBody(RequestId request);

  // Gives the request up; its handler hears no more and is destroyed at the next Flush().
  void Cancel(RequestId request, Http3Error error = Http3Error::kRequestCancelled);

  // Keeps answer bytes from being credited to the server, so that it has to stop; with false the
  // credit held back is given. For trials of slow callers.
  void PauseReading(RequestId request, bool paused);

  // Goes on from another local address, as a caller that changes networks does. Returns false when
  // the handshake isn't confirmed or no connection ID is left.
  bool Migrate(const Path& path, base::TimePoint now);

  // Closes the connection.
  void Close(base::TimePoint now);

  bool IsConnected() const;
  bool IsClosed() const;

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace gaugevalve::quic
