// The server's end of many QUIC connections that carry HTTP/3 (RFC 9000, RFC 9114).
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/connection_id/connection_id.h"
#include "gaugevalve/connection_id/issuer.h"
#include "gaugevalve/quic/credentials.h"
#include "gaugevalve/quic/datagram_sink.h"
#include "gaugevalve/quic/request_handler.h"
#include "gaugevalve/quic/stream_output.h"

namespace gaugevalve::quic {

// Limits of a server. Times are monotonic, sizes in bytes.
struct Http3ServerOptions {
  std::size_t max_connections = 2000;
  std::size_t max_streams = 100;               // requests at once of one connection
  std::size_t max_header_section = 32 * 1024;  // a larger one is reset with kExcessiveLoad
  std::size_t stream_window = 256 * 1024;      // request body bytes in flight, each stream
  std::size_t connection_window = 1024 * 1024;
  std::size_t send_high_water = 256 * 1024;  // answer bytes queued or unacknowledged, each stream
  base::Duration idle_timeout = std::chrono::seconds(30);
  // Connections in handshake from which on a new caller must prove its address by a Retry first.
  std::size_t retry_from_handshakes = 500;
};

// What became of a datagram.
enum class DatagramOutcome : std::uint8_t {
  kHandled,            // given to the connection that its ID names
  kOpened,             // opened a connection
  kRetrySent,          // the caller has to prove its address
  kVersionNegotiated,  // the caller was told which versions are spoken
  kRefused,            // told that no connection is made: no room, leaving, or a failure here
  kUnknown,            // belongs to no connection here and can't open one
  kMalformed,          // not QUIC, or no acceptable first packet
};

// Owns the connections and their TLS and HTTP/3 state; sends through a DatagramSink. Knows nothing
// of sockets and clocks: the shell passes datagrams and the time in, calls HandleExpiry() when
// NextExpiry() has come, and Flush() after handlers wrote outside of these calls. No 0-RTT (it can
// be replayed, and requests run at most once) and no session tickets. Not thread-safe.
//
// When there are `max_connections` a new one is refused, which tells its caller that nothing ran.
class Http3Server {
 public:
  // `sink` and `factory` must outlive the server. Throws std::runtime_error when the random source
  // of the system fails.
  Http3Server(const Http3ServerOptions& options, connection_id::Issuer issuer,
              CertificateCredentials credentials, DatagramSink& sink,
              RequestHandlerFactory& factory);
  ~Http3Server();
  Http3Server(const Http3Server&) = delete;
  Http3Server& operator=(const Http3Server&) = delete;

  // Returns whether a connection here goes by this ID.
  bool HasConnection(const connection_id::ConnectionId& id) const;

  // Handles a datagram of a caller and sends what it gives rise to.
  DatagramOutcome HandleDatagram(const Path& path, std::span<const std::uint8_t> datagram,
                                 base::TimePoint now);

  // Tells the sender of a datagram with a short header that its connection is gone. Call it only
  // when the connection can't live on another agent. Returns false when nothing was sent: the
  // datagram is too short, its ID is none of ours, or the limit of resets a second is reached.
  bool SendStatelessReset(const Path& path, std::span<const std::uint8_t> datagram,
                          base::TimePoint now);

  // Sends what is due and drops what has ended.
  void HandleExpiry(base::TimePoint now);

  // Returns when HandleExpiry() is next due; nothing when no timer is set.
  std::optional<base::TimePoint> NextExpiry() const;

  // Sends what handlers have written since the last call.
  void Flush(base::TimePoint now);

  // Uses these credentials for connections from now on; open ones are not touched.
  void SetCredentials(CertificateCredentials credentials);

  // Issues IDs under other keys from now on.
  void SetCodec(std::shared_ptr<const connection_id::Codec> codec);

  // Starts to leave: callers are told to make new requests elsewhere (GOAWAY), also those that
  // connect from now on; later requests are reset as not run, requests in progress go on. A
  // connection without requests is closed a while after its callers could know.
  void Drain(base::TimePoint now);

  // Refuses new connections from now on.
  void RefuseConnections();

  // Closes every connection at once.
  void CloseAll(base::TimePoint now);

  // Number of connections, those that are closing included.
  std::size_t ConnectionCount() const;

  // Returns the IDs that callers chose for connections whose handshake isn't done: these IDs, and
  // no others, don't name this agent.
  std::vector<connection_id::ConnectionId> HandshakingIds() const;

  // Number of requests whose handlers are alive.
  std::size_t RequestCount() const;

  // Returns the streams that have more to send, or whose callers haven't acknowledged all.
  std::vector<StreamOutput> WaitingOutputs() const;

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace gaugevalve::quic
