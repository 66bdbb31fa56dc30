#include "server_connection.h"

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>

#include "native.h"
#include "server_stream.h"

namespace gaugevalve::quic {
namespace {

// How long a peer may take to hear of a drain before its new requests are refused, in round trips.
constexpr int kDrainNoticeInRoundTrips = 2;

// How long a drained connection stays after that, so that callers learn of their last requests.
constexpr std::chrono::seconds kDrainedLinger{1};

}  // namespace

ServerConnection::ServerConnection(const Http3ServerOptions& options, ServerConnectionOwner& owner,
                                   CertificateCredentials credentials, DatagramSink& sink,
                                   const Path& path, const FirstPacket& first, base::TimePoint now)
    : Connection({options.stream_window, options.connection_window, options.max_streams,
                  options.max_header_section, options.idle_timeout},
                 sink),
      options_(options),
      owner_(owner),
      client_chosen_id_(FromNative(first.header.dcid)) {
  TlsSession session = TlsSession::ForServer(std::move(credentials), TlsReference());
  ngtcp2_callbacks callbacks = CommonCallbacks();
  callbacks.recv_client_initial = ngtcp2_crypto_recv_client_initial_cb;
  ngtcp2_settings settings = CommonSettings(now);
  settings.token = first.header.token;
  ngtcp2_transport_params parameters = CommonParameters();
  parameters.original_dcid = first.header.dcid;
  if (first.has_retry_token) {
    parameters.original_dcid = first.original_destination;
    parameters.retry_scid = first.header.dcid;
    parameters.retry_scid_present = 1;
  }
  const connection_id::ConnectionId id = owner_.IdIssuer().Issue();
  if (const auto token = owner_.IdIssuer().ResetToken(id)) {
    std::copy(token->begin(), token->end(), parameters.stateless_reset_token);
    parameters.stateless_reset_token_present = 1;
  }
  const ngtcp2_cid source = ToNative(id);
  const NativePath native_path(path);
  ngtcp2_conn* transport = nullptr;
  const int result = ngtcp2_conn_server_new(
      &transport, &first.header.scid, &source, native_path.Get(), first.header.version, &callbacks,
      &settings, &parameters, nullptr, static_cast<Connection*>(this));
  if (result != 0) {
    throw std::runtime_error(std::string("ngtcp2: a new connection: ") + ngtcp2_strerror(result));
  }
  Adopt(transport, std::move(session));
  Register(id);
  // The caller goes by the ID it chose until it has heard from the server.
  Register(client_chosen_id_);
}

ServerConnection::~ServerConnection() {
  for (const connection_id::ConnectionId& id : ids_) {
    owner_.RemoveId(id);
  }
}

void ServerConnection::Register(const connection_id::ConnectionId& id) {
  ids_.push_back(id);
  owner_.AddId(id, *this);
}

std::unique_ptr<RequestHandler> ServerConnection::MakeHandler(const RequestHead& head,
                                                              ResponseWriter& writer) {
  return owner_.Factory().OnRequest(head, FromNative(*ngtcp2_conn_get_path(Transport())), writer);
}

int ServerConnection::NewHttp(nghttp3_conn** http, const nghttp3_callbacks& callbacks,
                              const nghttp3_settings& settings) {
  const int result =
      nghttp3_conn_server_new(http, &callbacks, &settings, nullptr, static_cast<Connection*>(this));
  if (result == 0) {
    nghttp3_conn_set_max_client_streams_bidi(*http, options_.max_streams);
  }
  return result;
}

std::unique_ptr<Stream> ServerConnection::NewPeerStream(std::int64_t id) {
  return std::make_unique<ServerStream>(*this, id, options_.send_high_water,
                                        options_.max_header_section);
}

bool ServerConnection::NewConnectionId(ngtcp2_cid& id, std::uint8_t* token, std::size_t length) {
  if (length != connection_id::kRoutableIdLength) {
    return false;
  }
  const connection_id::ConnectionId issued = owner_.IdIssuer().Issue();
  const auto reset_token = owner_.IdIssuer().ResetToken(issued);
  if (!reset_token) {
    return false;
  }
  std::copy(reset_token->begin(), reset_token->end(), token);
  id = ToNative(issued);
  Register(issued);
  return true;
}

void ServerConnection::OnConnectionIdRetired(const ngtcp2_cid& id) {
  const connection_id::ConnectionId retired = FromNative(id);
  std::erase(ids_, retired);
  owner_.RemoveId(retired);
}

void ServerConnection::OnHandshakeDone() {
  if (std::exchange(is_handshake_counted_, false)) {
    owner_.OnHandshakeEnded();
  }
}

void ServerConnection::OnEnded(const ConnectionEnd&) {
  OnHandshakeDone();
  owner_.WantFlush(*this);
}

void ServerConnection::StartDrain(base::TimePoint now) {
  if (!IsOpen() || Http() == nullptr || drain_stage_ != DrainStage::kNone) {
    return;
  }
  nghttp3_conn_submit_shutdown_notice(Http());
  ngtcp2_conn_stat statistics{};
  ngtcp2_conn_get_conn_stat(Transport(), &statistics);
  const auto round_trip =
      std::chrono::duration_cast<base::Duration>(std::chrono::nanoseconds(statistics.smoothed_rtt));
  drain_stage_ = DrainStage::kNoticeSent;
  next_drain_step_ = now + kDrainNoticeInRoundTrips * round_trip;
  OnFlushWanted();
}

void ServerConnection::ContinueDrain(base::TimePoint now) {
  if (!IsOpen() || now < next_drain_step_) {
    return;
  }
  if (drain_stage_ == DrainStage::kNoticeSent) {
    nghttp3_conn_shutdown(Http());
    drain_stage_ = DrainStage::kRefusing;
    next_drain_step_ = now + kDrainedLinger;
    OnFlushWanted();
  } else if (StreamCount() == 0) {
    Close(Http3Error::kNoError, now);
  }
}

base::TimePoint ServerConnection::NextDue() const {
  const bool waits_for_requests = drain_stage_ == DrainStage::kRefusing && StreamCount() > 0;
  return IsOpen() && !waits_for_requests ? std::min(NextExpiry(), next_drain_step_) : NextExpiry();
}

}  // namespace gaugevalve::quic
