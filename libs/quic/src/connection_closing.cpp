// How a connection ends: by either end's wish, by a fault, or without a word.
#include <array>
#include <string>

#include "connection.h"
#include "native.h"

namespace gaugevalve::quic {
namespace {

constexpr int kClosePeriodInProbeTimeouts = 3;  // RFC 9000, section 10.2

ConnectionEnd EndOf(ngtcp2_conn* transport) {
  ngtcp2_connection_close_error error{};
  ngtcp2_conn_get_connection_close_error(transport, &error);
  ConnectionEnd end;
  const bool is_transport = error.type == NGTCP2_CONNECTION_CLOSE_ERROR_CODE_TYPE_TRANSPORT;
  end.kind = is_transport && error.error_code == NGTCP2_CONNECTION_REFUSED
                 ? ConnectionEnd::Kind::kRefused
                 : ConnectionEnd::Kind::kClosedByPeer;
  end.error = error.error_code;
  end.reason.assign(reinterpret_cast<const char*>(error.reason), error.reasonlen);
  return end;
}

}  // namespace

void Connection::Close(Http3Error error, base::TimePoint now) {
  if (state_ != State::kOpen) {
    return;
  }
  if (transport_ == nullptr) {
    End(State::kFinished, {ConnectionEnd::Kind::kClosedHere, 0, ""}, now);
    return;
  }
  ngtcp2_connection_close_error native{};
  ngtcp2_connection_close_error_set_application_error(&native, static_cast<std::uint64_t>(error),
                                                      nullptr, 0);
  WriteClose(native, now);
  End(State::kClosing, {ConnectionEnd::Kind::kClosedHere, native.error_code, ""}, now);
}

void Connection::Fail(int transport_error, base::TimePoint now) {
  if (state_ != State::kOpen) {
    return;
  }
  switch (transport_error) {
    case NGTCP2_ERR_DRAINING:
      End(State::kDraining, EndOf(transport_.get()), now);
      return;
    case NGTCP2_ERR_IDLE_CLOSE:
    case NGTCP2_ERR_HANDSHAKE_TIMEOUT:
      End(State::kFinished, {ConnectionEnd::Kind::kIdle, 0, ngtcp2_strerror(transport_error)}, now);
      return;
    case NGTCP2_ERR_DROP_CONN:
    case NGTCP2_ERR_RETRY:
      End(State::kFinished, {ConnectionEnd::Kind::kFailed, 0, ngtcp2_strerror(transport_error)},
          now);
      return;
    default:
      break;
  }
  ngtcp2_connection_close_error native{};
  std::string reason = ngtcp2_strerror(transport_error);
  if (http_error_) {
    reason = "HTTP/3 error " + std::to_string(*http_error_);
    ngtcp2_connection_close_error_set_application_error(&native, *http_error_, nullptr, 0);
  } else if (transport_error == NGTCP2_ERR_CRYPTO) {
    const std::uint8_t alert = ngtcp2_conn_get_tls_alert(transport_.get());
    reason = "TLS alert " + std::to_string(alert);
    ngtcp2_connection_close_error_set_transport_error_tls_alert(&native, alert, nullptr, 0);
  } else {
    ngtcp2_connection_close_error_set_transport_error_liberr(&native, transport_error, nullptr, 0);
  }
  WriteClose(native, now);
  End(State::kClosing, {ConnectionEnd::Kind::kFailed, native.error_code, reason}, now);
}

void Connection::WriteClose(const ngtcp2_connection_close_error& error, base::TimePoint now) {
  std::array<std::uint8_t, kMaxSentDatagram> buffer;
  ngtcp2_path_storage path;
  ngtcp2_path_storage_zero(&path);
  ngtcp2_pkt_info info{};
  const ngtcp2_ssize written = ngtcp2_conn_write_connection_close(
      transport_.get(), &path.path, &info, buffer.data(), buffer.size(), &error, ToNative(now));
  if (written <= 0) {
    return;  // nothing may be sent yet, as before the first keys
  }
  close_packet_.assign(buffer.begin(), buffer.begin() + written);
  close_path_ = FromNative(path.path);
  Send(close_path_, close_packet_);
}

void Connection::End(State state, const ConnectionEnd& end, base::TimePoint now) {
  state_ = state;
  if (transport_ != nullptr) {
    const auto probe_timeout = std::chrono::duration_cast<base::Duration>(
        std::chrono::nanoseconds(ngtcp2_conn_get_pto(transport_.get())));
    end_time_ = now + kClosePeriodInProbeTimeouts * probe_timeout;
  }
  for (const auto& [id, stream] : streams_) {
    stream->OnConnectionLost();
  }
  OnEnded(end);
}

void Connection::Abandon(base::TimePoint now) {
  if (state_ == State::kOpen) {
    End(State::kFinished, {ConnectionEnd::Kind::kClosedHere, 0, "abandoned"}, now);
  }
}

}  // namespace gaugevalve::quic
