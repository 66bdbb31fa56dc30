#include "connection.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>

#include "native.h"

namespace gaugevalve::quic {
namespace {

constexpr std::size_t kControlStreams = 3;  // control, QPACK encoder and decoder, each way
constexpr std::size_t kQpackTableCapacity = 4096;
constexpr std::size_t kQpackBlockedStreams = 100;
constexpr std::size_t kFieldOverhead = 32;  // RFC 9114, section 4.2.2
constexpr std::size_t kActiveConnectionIds = 4;
constexpr std::size_t kMaxVectors = 16;
// Timers that are due at once fire no more often than this (RFC 9002, section 6.1.2).
constexpr std::chrono::milliseconds kTimerGranularity{1};
constexpr int kKeepAlivesInIdleTimeout = 3;
constexpr int kClosePeriodInProbeTimeouts = 3;  // RFC 9000, section 10.2

std::string_view TextOf(nghttp3_rcbuf* buffer) {
  const nghttp3_vec bytes = nghttp3_rcbuf_get_buf(buffer);
  return {reinterpret_cast<const char*>(bytes.base), bytes.len};
}

int ParseStatus(std::string_view text) {
  int status = 0;
  std::from_chars(text.data(), text.data() + text.size(), status);
  return status;
}

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

// The libraries' callbacks. An exception must not cross their C frames: it becomes a callback
// failure, which ends the connection.
struct Connection::Callbacks {
  static Connection& Of(void* user_data) { return *static_cast<Connection*>(user_data); }

  template <class Body>
  static int Guard(int failure, Body body) noexcept {
    try {
      return body();
    } catch (...) {
      return failure;
    }
  }

  template <class Body>
  static int GuardTransport(Body body) noexcept {
    return Guard(NGTCP2_ERR_CALLBACK_FAILURE, body);
  }

  template <class Body>
  static int GuardHttp(Body body) noexcept {
    return Guard(NGHTTP3_ERR_CALLBACK_FAILURE, body);
  }

  // Runs `body` on a stream, if it is still known.
  template <class Body>
  static int WithStream(void* user_data, std::int64_t id, Body body) noexcept {
    return GuardHttp([&] {
      if (Stream* stream = Of(user_data).FindStream(id)) {
        body(*stream);
      }
      return 0;
    });
  }

  static ngtcp2_conn* GetTransport(ngtcp2_crypto_conn_ref* reference) {
    return Of(reference->user_data).transport_.get();
  }

  static void Random(std::uint8_t* destination, std::size_t length, const ngtcp2_rand_ctx*) {
    // A failing source leaves the bytes as they are; GnuTLS's handshake fails in that case anyway.
    gnutls_rnd(GNUTLS_RND_NONCE, destination, length);
  }

  static int HandshakeCompleted(ngtcp2_conn*, void* user_data) {
    return GuardTransport([&] {
      Of(user_data).OnHandshakeDone();
      return 0;
    });
  }

  static int ReceiveKey(ngtcp2_conn*, ngtcp2_crypto_level level, void* user_data) {
    return GuardTransport(
        [&] { return level == NGTCP2_CRYPTO_LEVEL_APPLICATION ? Of(user_data).SetUpHttp() : 0; });
  }

  static int ReceiveStreamData(ngtcp2_conn*, std::uint32_t flags, std::int64_t id, std::uint64_t,
                               const std::uint8_t* data, std::size_t length, void* user_data,
                               void*) {
    return GuardTransport([&] {
      const bool is_last = (flags & NGTCP2_STREAM_DATA_FLAG_FIN) != 0;
      return Of(user_data).ReadStream(id, {data, length}, is_last);
    });
  }

  static int AcknowledgedStreamData(ngtcp2_conn*, std::int64_t id, std::uint64_t,
                                    std::uint64_t length, void* user_data, void*) {
    return GuardTransport([&] {
      Connection& connection = Of(user_data);
      return connection.HttpFailure(
          nghttp3_conn_add_ack_offset(connection.http_.get(), id, length));
    });
  }

  static int StreamClose(ngtcp2_conn*, std::uint32_t flags, std::int64_t id, std::uint64_t error,
                         void* user_data, void*) {
    return GuardTransport([&] {
      const bool has_error = (flags & NGTCP2_STREAM_CLOSE_FLAG_APP_ERROR_CODE_SET) != 0;
      return Of(user_data).OnStreamClosed(id, has_error ? error : NGHTTP3_H3_NO_ERROR);
    });
  }

  static int StreamReset(ngtcp2_conn*, std::int64_t id, std::uint64_t, std::uint64_t error,
                         void* user_data, void*) {
    return GuardTransport([&] {
      Connection& connection = Of(user_data);
      if (Stream* stream = connection.FindStream(id)) {
        stream->OnPeerReset(error);
      } else {
        connection.ResetStream(id, Http3Error::kRequestIncomplete);
      }
      return connection.HttpFailure(nghttp3_conn_shutdown_stream_read(connection.http_.get(), id));
    });
  }

  static int StreamStopSending(ngtcp2_conn*, std::int64_t id, std::uint64_t error, void* user_data,
                               void*) {
    return GuardTransport([&] {
      if (Stream* stream = Of(user_data).FindStream(id)) {
        stream->OnPeerStopSending(error);
      }
      return 0;
    });
  }

  static int ExtendStreamData(ngtcp2_conn*, std::int64_t id, std::uint64_t, void* user_data,
                              void*) {
    return GuardTransport([&] {
      Connection& connection = Of(user_data);
      return connection.HttpFailure(nghttp3_conn_unblock_stream(connection.http_.get(), id));
    });
  }

  static int GetNewConnectionId(ngtcp2_conn*, ngtcp2_cid* id, std::uint8_t* token,
                                std::size_t length, void* user_data) {
    return GuardTransport([&] {
      const bool made = Of(user_data).NewConnectionId(*id, token, length);
      return made ? 0 : NGTCP2_ERR_CALLBACK_FAILURE;
    });
  }

  static int RemoveConnectionId(ngtcp2_conn*, const ngtcp2_cid* id, void* user_data) {
    return GuardTransport([&] {
      Of(user_data).OnConnectionIdRetired(*id);
      return 0;
    });
  }

  // nghttp3

  static int HttpAcknowledged(nghttp3_conn*, std::int64_t id, std::uint64_t length, void* user_data,
                              void*) {
    return WithStream(user_data, id, [&](Stream& stream) { stream.Acknowledge(length); });
  }

  static int HttpData(nghttp3_conn*, std::int64_t id, const std::uint8_t* data, std::size_t length,
                      void* user_data, void*) {
    return WithStream(user_data, id, [&](Stream& stream) {
      stream.AddUnconsumed(length);
      stream.OnData({data, length});
    });
  }

  static int HttpDeferredConsume(nghttp3_conn*, std::int64_t id, std::size_t length,
                                 void* user_data, void*) {
    Of(user_data).ExtendWindows(id, length);
    return 0;
  }

  static int HttpBeginHeaders(nghttp3_conn*, std::int64_t id, void* user_data, void*) {
    return GuardHttp([&] {
      Connection& connection = Of(user_data);
      if (Stream* stream = connection.FindStream(id)) {
        stream->Headers() = {};  // a final answer after an informational one
      } else if (auto made = connection.NewPeerStream(id)) {
        connection.AddStream(std::move(made));
      }
      return 0;
    });
  }

  static int HttpHeader(nghttp3_conn*, std::int64_t id, std::int32_t token, nghttp3_rcbuf* name,
                        nghttp3_rcbuf* value, std::uint8_t, void* user_data, void*) {
    return GuardHttp([&] { return Of(user_data).OnHeaderField(id, token, name, value); });
  }

  static int HttpEndHeaders(nghttp3_conn*, std::int64_t id, int, void* user_data, void*) {
    return WithStream(user_data, id, [](Stream& stream) { stream.OnHeaders(); });
  }

  static int HttpEndStream(nghttp3_conn*, std::int64_t id, void* user_data, void*) {
    return WithStream(user_data, id, [](Stream& stream) { stream.OnEnd(); });
  }

  static int HttpStopSending(nghttp3_conn*, std::int64_t id, std::uint64_t error, void* user_data,
                             void*) {
    return GuardHttp([&] {
      Of(user_data).StopReading(id, static_cast<Http3Error>(error));
      return 0;
    });
  }

  static int HttpResetStream(nghttp3_conn*, std::int64_t id, std::uint64_t error, void* user_data,
                             void*) {
    return GuardHttp([&] {
      Of(user_data).ResetStream(id, static_cast<Http3Error>(error));
      return 0;
    });
  }

  static int HttpStreamClosed(nghttp3_conn*, std::int64_t id, std::uint64_t, void* user_data,
                              void*) {
    return GuardHttp([&] {
      Of(user_data).RemoveStream(id);
      return 0;
    });
  }

  static int HttpShutdown(nghttp3_conn*, std::int64_t id, void* user_data) {
    return GuardHttp([&] {
      Of(user_data).OnGoaway(id);
      return 0;
    });
  }

  static nghttp3_ssize ReadBody(nghttp3_conn*, std::int64_t id, nghttp3_vec* vectors,
                                std::size_t count, std::uint32_t* flags, void* user_data, void*) {
    Stream* stream = Of(user_data).FindStream(id);
    if (stream == nullptr) {
      return NGHTTP3_ERR_CALLBACK_FAILURE;
    }
    SendBuffer& buffer = stream->Output();
    const std::size_t filled = buffer.Take(vectors, count);
    if (buffer.IsTaken()) {
      *flags |= NGHTTP3_DATA_FLAG_EOF;
    } else if (filled == 0) {
      return NGHTTP3_ERR_WOULDBLOCK;
    }
    return static_cast<nghttp3_ssize>(filled);
  }

  static nghttp3_callbacks ForHttp() {
    nghttp3_callbacks callbacks{};
    callbacks.acked_stream_data = HttpAcknowledged;
    callbacks.stream_close = HttpStreamClosed;
    callbacks.recv_data = HttpData;
    callbacks.deferred_consume = HttpDeferredConsume;
    callbacks.begin_headers = HttpBeginHeaders;
    callbacks.recv_header = HttpHeader;
    callbacks.end_headers = HttpEndHeaders;
    callbacks.stop_sending = HttpStopSending;
    callbacks.end_stream = HttpEndStream;
    callbacks.reset_stream = HttpResetStream;
    callbacks.shutdown = HttpShutdown;
    return callbacks;
  }
};

Connection::Connection(const Limits& limits, DatagramSink& sink)
    : limits_(limits), sink_(sink), reference_{Callbacks::GetTransport, this} {}

Connection::~Connection() = default;

const nghttp3_data_reader& Connection::BodyReader() {
  static constexpr nghttp3_data_reader kReader{Callbacks::ReadBody};
  return kReader;
}

void Connection::Adopt(ngtcp2_conn* transport, TlsSession session) {
  transport_.reset(transport);
  session_.emplace(std::move(session));
  ngtcp2_conn_set_tls_native_handle(transport, session_->Get());
}

ngtcp2_callbacks Connection::CommonCallbacks() const {
  ngtcp2_callbacks callbacks{};
  callbacks.recv_crypto_data = ngtcp2_crypto_recv_crypto_data_cb;
  callbacks.encrypt = ngtcp2_crypto_encrypt_cb;
  callbacks.decrypt = ngtcp2_crypto_decrypt_cb;
  callbacks.hp_mask = ngtcp2_crypto_hp_mask_cb;
  callbacks.update_key = ngtcp2_crypto_update_key_cb;
  callbacks.delete_crypto_aead_ctx = ngtcp2_crypto_delete_crypto_aead_ctx_cb;
  callbacks.delete_crypto_cipher_ctx = ngtcp2_crypto_delete_crypto_cipher_ctx_cb;
  callbacks.get_path_challenge_data = ngtcp2_crypto_get_path_challenge_data_cb;
  callbacks.version_negotiation = ngtcp2_crypto_version_negotiation_cb;
  callbacks.handshake_completed = Callbacks::HandshakeCompleted;
  callbacks.recv_stream_data = Callbacks::ReceiveStreamData;
  callbacks.acked_stream_data_offset = Callbacks::AcknowledgedStreamData;
  callbacks.stream_close = Callbacks::StreamClose;
  callbacks.stream_reset = Callbacks::StreamReset;
  callbacks.stream_stop_sending = Callbacks::StreamStopSending;
  callbacks.extend_max_stream_data = Callbacks::ExtendStreamData;
  callbacks.rand = Callbacks::Random;
  callbacks.get_new_connection_id = Callbacks::GetNewConnectionId;
  callbacks.remove_connection_id = Callbacks::RemoveConnectionId;
  callbacks.recv_tx_key = Callbacks::ReceiveKey;
  return callbacks;
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
  if (const int result = NewHttp(&http, Callbacks::ForHttp(), settings); result != 0) {
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

int Connection::ReadStream(std::int64_t id, std::span<const std::uint8_t> data, bool is_last) {
  const nghttp3_ssize consumed =
      nghttp3_conn_read_stream(http_.get(), id, data.data(), data.size(), is_last ? 1 : 0);
  if (consumed < 0) {
    return HttpFailure(static_cast<int>(consumed));
  }
  // What is not a body needs no backpressure; body bytes are credited when they are consumed.
  ExtendWindows(id, static_cast<std::size_t>(consumed));
  return 0;
}

void Connection::ExtendWindows(std::int64_t id, std::size_t bytes) {
  if (bytes == 0 || state_ != State::kOpen) {
    return;
  }
  ngtcp2_conn_extend_max_stream_offset(transport_.get(), id, bytes);
  ngtcp2_conn_extend_max_offset(transport_.get(), bytes);
  OnFlushWanted();
}

// A message whose head waits for entries of the QPACK table outlives its QUIC stream: nghttp3 keeps
// it until they come, and only then says that it is over.
int Connection::OnStreamClosed(std::int64_t id, std::uint64_t error) {
  if (ngtcp2_is_bidi_stream(id) != 0 && ngtcp2_conn_is_local_stream(transport_.get(), id) == 0) {
    ngtcp2_conn_extend_max_streams_bidi(transport_.get(), 1);
  }
  const int result = http_ != nullptr ? nghttp3_conn_close_stream(http_.get(), id, error)
                                      : NGHTTP3_ERR_STREAM_NOT_FOUND;
  if (result == NGHTTP3_ERR_STREAM_NOT_FOUND) {
    RemoveStream(id);
    return 0;
  }
  return HttpFailure(result);
}

void Connection::AddStream(std::unique_ptr<Stream> stream) {
  const std::int64_t id = stream->Id();
  streams_[id] = std::move(stream);
  UpdateKeepAlive();
}

Stream* Connection::FindStream(std::int64_t id) {
  const auto found = streams_.find(id);
  return found == streams_.end() ? nullptr : found->second.get();
}

void Connection::RemoveStream(std::int64_t id) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) {
    return;
  }
  ngtcp2_conn_extend_max_offset(transport_.get(), found->second->TakeUnconsumed());
  closed_streams_.push_back(std::move(found->second));
  streams_.erase(found);
  UpdateKeepAlive();
  OnFlushWanted();
}

// A request may wait long for its answer, as event streams do: its connection must not fall idle.
void Connection::UpdateKeepAlive() {
  const bool has_requests = !streams_.empty();
  const base::Duration period =
      has_requests ? limits_.idle_timeout / kKeepAlivesInIdleTimeout : base::Duration{0};
  ngtcp2_conn_set_keep_alive_timeout(transport_.get(), ToNative(period));
}

int Connection::OnHeaderField(std::int64_t id, std::int32_t token, nghttp3_rcbuf* name,
                              nghttp3_rcbuf* value) {
  Stream* stream = FindStream(id);
  if (stream == nullptr) {
    return 0;
  }
  HeaderBlock& block = stream->Headers();
  const std::string_view text = TextOf(value);
  block.size += TextOf(name).size() + text.size() + kFieldOverhead;
  if (block.size > limits_.max_header_section) {
    return 0;  // the heir refuses it when the head is complete
  }
  switch (token) {
    case NGHTTP3_QPACK_TOKEN__METHOD:
      block.request.method = text;
      return 0;
    case NGHTTP3_QPACK_TOKEN__SCHEME:
      block.request.scheme = text;
      return 0;
    case NGHTTP3_QPACK_TOKEN__AUTHORITY:
      block.request.authority = text;
      return 0;
    case NGHTTP3_QPACK_TOKEN__PATH:
      block.request.path = text;
      return 0;
    case NGHTTP3_QPACK_TOKEN__STATUS:
      block.status = ParseStatus(text);
      return 0;
    default:
      block.request.fields.push_back({std::string(TextOf(name)), std::string(text)});
      return 0;
  }
}

void Connection::ResumeStream(std::int64_t id) {
  resumed_streams_.push_back(id);
  OnFlushWanted();
}

void Connection::ResetStream(std::int64_t id, Http3Error error) {
  stream_actions_.push_back({id, error, true});
  OnFlushWanted();
}

void Connection::StopReading(std::int64_t id, Http3Error error) {
  stream_actions_.push_back({id, error, false});
  OnFlushWanted();
}

void Connection::ApplyStreamActions() {
  for (const StreamAction& action : std::exchange(stream_actions_, {})) {
    const auto code = static_cast<std::uint64_t>(action.error);
    if (action.resets_writing) {
      ngtcp2_conn_shutdown_stream_write(transport_.get(), action.id, code);
      if (http_ != nullptr) {
        nghttp3_conn_shutdown_stream_write(http_.get(), action.id);
      }
    }
    ngtcp2_conn_shutdown_stream_read(transport_.get(), action.id, code);
  }
  for (const std::int64_t id : std::exchange(resumed_streams_, {})) {
    if (http_ != nullptr) {
      nghttp3_conn_resume_stream(http_.get(), id);
    }
  }
}

void Connection::HandleDatagram(const Path& path, std::span<const std::uint8_t> datagram,
                                base::TimePoint now) {
  if (state_ == State::kClosing) {
    // Fewer and fewer answers, so that a peer that doesn't hear them isn't flooded.
    ++datagrams_while_closing_;
    const bool is_power_of_two = (datagrams_while_closing_ & (datagrams_while_closing_ - 1)) == 0;
    if (is_power_of_two) {
      Send(close_path_, close_packet_);
    }
    return;
  }
  if (state_ != State::kOpen) {
    return;
  }
  const NativePath native_path(path);
  const ngtcp2_pkt_info info{};
  const int result = ngtcp2_conn_read_pkt(transport_.get(), native_path.Get(), &info,
                                          datagram.data(), datagram.size(), ToNative(now));
  if (result != 0) {
    Fail(result, now);
  }
}

void Connection::HandleExpiry(base::TimePoint now) {
  if (state_ == State::kClosing || state_ == State::kDraining) {
    state_ = now >= end_time_ ? State::kFinished : state_;
    return;
  }
  if (state_ != State::kOpen || NextExpiry() > now) {
    return;
  }
  const int result = ngtcp2_conn_handle_expiry(transport_.get(), ToNative(now));
  if (result != 0) {
    Fail(result, now);
  }
}

base::TimePoint Connection::NextExpiry() const {
  if (state_ == State::kClosing || state_ == State::kDraining) {
    return end_time_;
  }
  if (state_ == State::kFinished || transport_ == nullptr) {
    return base::TimePoint::max();
  }
  const ngtcp2_tstamp expiry = ngtcp2_conn_get_expiry(transport_.get());
  return expiry == UINT64_MAX ? base::TimePoint::max()
                              : std::max(FromNative(expiry), earliest_timer_);
}

void Connection::Flush(base::TimePoint now) {
  closed_streams_.clear();
  if (state_ != State::kOpen || transport_ == nullptr) {
    return;
  }
  ApplyStreamActions();
  const std::size_t packets_before = packets_sent_;
  if (!WritePackets(now)) {
    return;
  }
  ngtcp2_conn_update_pkt_tx_time(transport_.get(), ToNative(now));
  // A pacing timer that has run out stays so while the amplification limit forbids to send.
  const bool has_written = packets_sent_ != packets_before;
  earliest_timer_ = has_written ? base::TimePoint{} : now + kTimerGranularity;
}

// Writes as many packets as congestion control and pacing allow now; false when the connection
// ended.
bool Connection::WritePackets(base::TimePoint now) {
  std::array<std::uint8_t, kMaxSentDatagram> buffer;
  const std::size_t quantum = ngtcp2_conn_get_send_quantum(transport_.get());
  const std::size_t max_packets = std::max<std::size_t>(quantum / buffer.size(), 1);
  for (std::size_t packets = 0; packets < max_packets; ++packets) {
    ngtcp2_path_storage path;
    ngtcp2_path_storage_zero(&path);
    const ngtcp2_ssize written = WritePacket(path, buffer, now);
    if (written < 0) {
      Fail(static_cast<int>(written), now);
      return false;
    }
    if (written == 0) {
      return true;
    }
    ++packets_sent_;
    Send(FromNative(path.path), std::span(buffer).first(static_cast<std::size_t>(written)));
  }
  return true;
}

// Fills one packet with what the streams have. Returns its size, 0 when there is nothing to send or
// no leave to send it, or an error of ngtcp2.
ngtcp2_ssize Connection::WritePacket(ngtcp2_path_storage& path, std::span<std::uint8_t> buffer,
                                     base::TimePoint now) {
  ngtcp2_pkt_info info{};
  for (;;) {
    std::int64_t id = -1;
    int is_last = 0;
    std::array<nghttp3_vec, kMaxVectors> vectors;
    nghttp3_ssize count = 0;
    if (http_ != nullptr && ngtcp2_conn_get_max_data_left(transport_.get()) > 0) {
      count = nghttp3_conn_writev_stream(http_.get(), &id, &is_last, vectors.data(), kMaxVectors);
      if (count < 0) {
        return HttpFailure(static_cast<int>(count));
      }
    }
    const std::uint32_t flags =
        NGTCP2_WRITE_STREAM_FLAG_MORE | (is_last != 0 ? NGTCP2_WRITE_STREAM_FLAG_FIN : 0);
    ngtcp2_ssize taken = -1;
    const ngtcp2_ssize written = ngtcp2_conn_writev_stream(
        transport_.get(), &path.path, &info, buffer.data(), buffer.size(), &taken, flags, id,
        reinterpret_cast<const ngtcp2_vec*>(vectors.data()), static_cast<std::size_t>(count),
        ToNative(now));
    if (taken >= 0) {
      nghttp3_conn_add_write_offset(http_.get(), id, static_cast<std::size_t>(taken));
    }
    switch (written) {
      case NGTCP2_ERR_WRITE_MORE:
        continue;
      case NGTCP2_ERR_STREAM_DATA_BLOCKED:
        nghttp3_conn_block_stream(http_.get(), id);
        continue;
      case NGTCP2_ERR_STREAM_SHUT_WR:
      case NGTCP2_ERR_STREAM_NOT_FOUND:
        nghttp3_conn_shutdown_stream_write(http_.get(), id);
        continue;
      default:
        return written;
    }
  }
}

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
