// The set-up of a connection. The other parts are in connection_callbacks.cpp,
// connection_streams.cpp, connection_packets.cpp and connection_closing.cpp.
#include "connection.h"

#include <array>
#include <utility>

#include "native.h"

namespace gaugevalve::quic {
namespace {

constexpr std::size_t kControlStreams = 3;  // control, QPACK encoder and decoder, each way
constexpr std::size_t kQpackTableCapacity = 4096;
constexpr std::size_t kQpackBlockedStreams = 100;
constexpr std::size_t kActiveConnectionIds = 4;

}  // namespace

Connection::Connection(const Limits& limits, DatagramSink& sink)
    : limits_(limits), sink_(sink), reference_{TransportOf, this} {}

Connection::~Connection() = default;

void Connection::Adopt(ngtcp2_conn* transport, TlsSession session) {
  transport_.reset(transport);
  session_.emplace(std::move(session));
  ngtcp2_conn_set_tls_native_handle(transport, session_->Get());
}

ngtcp2_settings Connection::CommonSettings(base::TimePoint now) const {
  ngtcp2_settings settings{};
  ngtcp2_settings_default(&settings);
  settings.initial_ts = ToNative(now);
  settings.max_tx_udp_payload_size = kMaxSentDatagram;
  settings.no_pmtud = 1;
  return settings;
}

ngtcp2_transport_params Connection::CommonParameters() const {
  ngtcp2_transport_params parameters{};
  ngtcp2_transport_params_default(&parameters);
  parameters.initial_max_stream_data_bidi_local = limits_.stream_window;
  parameters.initial_max_stream_data_bidi_remote = limits_.stream_window;
  parameters.initial_max_stream_data_uni = limits_.stream_window;
  parameters.initial_max_data = limits_.connection_window;
  parameters.initial_max_streams_bidi = limits_.max_peer_streams;
  parameters.initial_max_streams_uni = kControlStreams;
  parameters.max_idle_timeout = ToNative(limits_.idle_timeout);
  parameters.max_udp_payload_size = kMaxReceivedDatagram;
  parameters.active_connection_id_limit = kActiveConnectionIds;
  return parameters;
}

bool Connection::IsHandshakeDone() const {
  return transport_ != nullptr && ngtcp2_conn_get_handshake_completed(transport_.get()) != 0;
}

int Connection::SetUpHttp() {
  if (http_ != nullptr) {
    return 0;
  }
  if (ngtcp2_conn_get_max_local_streams_uni(transport_.get()) < kControlStreams) {
    http_error_ = NGHTTP3_H3_STREAM_CREATION_ERROR;
    return NGTCP2_ERR_CALLBACK_FAILURE;
  }
  nghttp3_settings settings{};
  nghttp3_settings_default(&settings);
  settings.max_field_section_size = limits_.max_header_section;
  settings.qpack_max_dtable_capacity = kQpackTableCapacity;
  settings.qpack_blocked_streams = kQpackBlockedStreams;
  nghttp3_conn* http = nullptr;
  if (const int result = NewHttp(&http, HttpCallbacks(), settings); result != 0) {
    return HttpFailure(result);
  }
  http_.reset(http);
  std::array<std::int64_t, kControlStreams> ids{};
  for (std::int64_t& id : ids) {
    if (ngtcp2_conn_open_uni_stream(transport_.get(), &id, nullptr) != 0) {
      return NGTCP2_ERR_CALLBACK_FAILURE;
    }
  }
  if (const int result = nghttp3_conn_bind_control_stream(http, ids[0]); result != 0) {
    return HttpFailure(result);
  }
  return HttpFailure(nghttp3_conn_bind_qpack_streams(http, ids[1], ids[2]));
}

int Connection::HttpFailure(int result) {
  if (result == 0) {
    return 0;
  }
  if (!http_error_) {
    http_error_ = nghttp3_err_infer_quic_app_error_code(result);
  }
  return NGTCP2_ERR_CALLBACK_FAILURE;
}

}  // namespace gaugevalve::quic
