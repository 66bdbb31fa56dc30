// What ngtcp2 and nghttp3 call on a connection.
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <utility>

#include "connection.h"

namespace gaugevalve::quic {

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
    return GuardTransport([&] { return Of(user_data).OnAcknowledged(id, length); });
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

ngtcp2_conn* Connection::TransportOf(ngtcp2_crypto_conn_ref* reference) {
  return Callbacks::Of(reference->user_data).transport_.get();
}

const nghttp3_data_reader& Connection::BodyReader() {
  static constexpr nghttp3_data_reader kReader{Callbacks::ReadBody};
  return kReader;
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

nghttp3_callbacks Connection::HttpCallbacks() { return Callbacks::ForHttp(); }

}  // namespace gaugevalve::quic
