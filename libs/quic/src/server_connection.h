// One connection at the server.
#pragma once

#include <memory>
#include <vector>

#include "connection.h"
#include "gaugevalve/connection_id/issuer.h"
#include "gaugevalve/quic/http3_server.h"

namespace gaugevalve::quic {

class ServerConnection;

// What a connection asks of the server that owns it.
class ServerConnectionOwner {
 public:
  virtual ~ServerConnectionOwner() = default;

  // Makes `connection` go by this ID, or no longer.
  virtual void AddId(const connection_id::ConnectionId& id, ServerConnection& connection) = 0;
  virtual void RemoveId(const connection_id::ConnectionId& id) = 0;
  virtual connection_id::Issuer& IdIssuer() = 0;
  virtual RequestHandlerFactory& Factory() = 0;
  virtual void OnHandshakeEnded() = 0;  // done or failed; once for each connection
  virtual void WantFlush(ServerConnection& connection) = 0;
};

// The first packet of a connection, decoded.
struct FirstPacket {
  ngtcp2_pkt_hd header;
  bool has_retry_token = false;
  ngtcp2_cid original_destination;  // of the packet that a Retry answered
};

// Owned by the server's core.
class ServerConnection final : public Connection {
 public:
  // Throws std::runtime_error when a library can't set it up.
  ServerConnection(const Http3ServerOptions& options, ServerConnectionOwner& owner,
                   CertificateCredentials credentials, DatagramSink& sink, const Path& path,
                   const FirstPacket& first, base::TimePoint now);
  ~ServerConnection() override;

  std::unique_ptr<RequestHandler> MakeHandler(const RequestHead& head, ResponseWriter& writer);

  // The ID the caller chose for its first packet.
  const connection_id::ConnectionId& ClientChosenId() const { return client_chosen_id_; }

  // Tells the peer to make no more requests; when it has had time to hear it, refuses them; and
  // when there are none left for a while, closes. Idempotent.
  void StartDrain(base::TimePoint now);
  // Does what is due of that.
  void ContinueDrain(base::TimePoint now);
  // When HandleExpiry() or ContinueDrain() is next due.
  base::TimePoint NextDue() const;

  // The owner's mark that this connection is in its list of those to flush.
  bool is_flush_wanted = false;
  // The owner's timer for it; TimePoint::max() for none.
  base::TimePoint timer = base::TimePoint::max();

 private:
  int NewHttp(nghttp3_conn** http, const nghttp3_callbacks& callbacks,
              const nghttp3_settings& settings) override;
  std::unique_ptr<Stream> NewPeerStream(std::int64_t id) override;
  bool NewConnectionId(ngtcp2_cid& id, std::uint8_t* token, std::size_t length) override;
  void OnConnectionIdRetired(const ngtcp2_cid& id) override;
  void OnHandshakeDone() override;
  void OnGoaway(std::int64_t) override {}
  void OnEnded(const ConnectionEnd& end) override;
  void OnFlushWanted() override { owner_.WantFlush(*this); }

  enum class DrainStage : std::uint8_t { kNone, kNoticeSent, kRefusing };

  void Register(const connection_id::ConnectionId& id);

  Http3ServerOptions options_;
  ServerConnectionOwner& owner_;
  std::vector<connection_id::ConnectionId> ids_;
  bool is_handshake_counted_ = true;
  connection_id::ConnectionId client_chosen_id_;
  DrainStage drain_stage_ = DrainStage::kNone;
  base::TimePoint next_drain_step_ = base::TimePoint::max();
};

}  // namespace gaugevalve::quic
