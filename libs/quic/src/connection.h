// One QUIC connection that carries HTTP/3: what its two ends have in common.
#pragma once

#include <nghttp3/nghttp3.h>
#include <ngtcp2/ngtcp2.h>
#include <ngtcp2/ngtcp2_crypto.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/quic/connection_end.h"
#include "gaugevalve/quic/datagram_sink.h"
#include "gaugevalve/quic/stream_output.h"
#include "stream.h"
#include "tls_session.h"

namespace gaugevalve::quic {

struct ConnectionDeleter {
  void operator()(ngtcp2_conn* connection) const { ngtcp2_conn_del(connection); }
  void operator()(nghttp3_conn* connection) const { nghttp3_conn_del(connection); }
};

// Largest datagram that is sent. It stays at QUIC's minimum so that a datagram with the headers the
// balancers add still fits an Ethernet frame.
inline constexpr std::size_t kMaxSentDatagram = NGTCP2_MAX_UDP_PAYLOAD_SIZE;

// Largest datagram that is taken, announced to the peer: 1500 bytes of an Ethernet frame less IPv6
// and UDP headers (48) and what a balancer puts ahead, without previous owners (150).
inline constexpr std::uint64_t kMaxReceivedDatagram = 1300;

// Drives an ngtcp2 connection and the nghttp3 connection upon it. Heirs create them, and the
// streams.
//
// The libraries' rules shape it: nothing may be written from within their callbacks, so what the
// application asks for there is kept and done in Flush().
class Connection {
 public:
  virtual ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void HandleDatagram(const Path& path, std::span<const std::uint8_t> datagram,
                      base::TimePoint now);
  void HandleExpiry(base::TimePoint now);
  void Flush(base::TimePoint now);
  // Closes with an application error code.
  void Close(Http3Error error, base::TimePoint now);

  // Ends without a word to the peer, as when the process ends.
  void Abandon(base::TimePoint now);

  // When HandleExpiry() is next due; TimePoint::max() for never.
  base::TimePoint NextExpiry() const;

  // True when nothing more will come of this connection: it can be destroyed.
  bool IsFinished() const { return state_ == State::kFinished; }
  bool IsOpen() const { return state_ == State::kOpen; }
  bool IsHandshakeDone() const;
  std::size_t StreamCount() const { return streams_.size(); }
  // Adds the streams that have more to send or wait for acknowledgements.
  void AddWaitingOutputs(std::vector<StreamOutput>& outputs) const;

  // For streams.
  void ResumeStream(std::int64_t id);
  void ResetStream(std::int64_t id, Http3Error error);
  void StopReading(std::int64_t id, Http3Error error);
  void ExtendWindows(std::int64_t id, std::size_t bytes);
  nghttp3_conn* Http() { return http_.get(); }
  static const nghttp3_data_reader& BodyReader();

 protected:
  // Flow control limits and the like.
  struct Limits {
    std::size_t stream_window = 0;
    std::size_t connection_window = 0;
    std::size_t max_peer_streams = 0;
    std::size_t max_header_section = 0;
    base::Duration idle_timeout{};
  };

  Connection(const Limits& limits, DatagramSink& sink);

  ngtcp2_conn* Transport() { return transport_.get(); }
  ngtcp2_crypto_conn_ref* TlsReference() { return &reference_; }
  void Adopt(ngtcp2_conn* transport, TlsSession session);
  ngtcp2_callbacks CommonCallbacks() const;
  ngtcp2_settings CommonSettings(base::TimePoint now) const;
  ngtcp2_transport_params CommonParameters() const;
  void AddStream(std::unique_ptr<Stream> stream);
  Stream* FindStream(std::int64_t id);
  // Calls `action` on each stream from `first` on.
  template <class Action>
  void ForEachStreamFrom(std::int64_t first, Action action) {
    for (auto next = streams_.lower_bound(first); next != streams_.end(); ++next) {
      action(*next->second);
    }
  }
  void Send(const Path& path, std::span<const std::uint8_t> payload) {
    sink_.SendDatagram(path, payload);
  }

  // Makes nghttp3's end of the connection; `settings` and `callbacks` are ready.
  virtual int NewHttp(nghttp3_conn** http, const nghttp3_callbacks& callbacks,
                      const nghttp3_settings& settings) = 0;
  // A message's head begins on a stream that isn't known yet; null refuses it.
  virtual std::unique_ptr<Stream> NewPeerStream(std::int64_t id) = 0;
  // Fills in a new connection ID and its reset token; false when there is none.
  virtual bool NewConnectionId(ngtcp2_cid& id, std::uint8_t* token, std::size_t length) = 0;
  virtual void OnConnectionIdRetired(const ngtcp2_cid& id) = 0;
  virtual void OnHandshakeDone() = 0;
  // The peer takes no streams from `first_refused` on.
  virtual void OnGoaway(std::int64_t first_refused) = 0;
  // The connection has ended; its streams were told before.
  virtual void OnEnded(const ConnectionEnd& end) = 0;
  virtual void OnFlushWanted() = 0;

 private:
  enum class State : std::uint8_t {
    kOpen,
    kClosing,   // answers datagrams with its CONNECTION_CLOSE (RFC 9000, section 10.2.1)
    kDraining,  // says nothing (section 10.2.2)
    kFinished,
  };
  struct StreamAction {
    std::int64_t id;
    Http3Error error;
    bool resets_writing;  // otherwise only reading stops
  };
  struct Callbacks;  // the libraries' callbacks

  static ngtcp2_conn* TransportOf(ngtcp2_crypto_conn_ref* reference);
  static nghttp3_callbacks HttpCallbacks();

  int SetUpHttp();
  int ReadStream(std::int64_t id, std::span<const std::uint8_t> data, bool is_last);
  int OnStreamClosed(std::int64_t id, std::uint64_t error);
  int OnAcknowledged(std::int64_t id, std::uint64_t bytes);
  int OnEndOffered(std::int64_t id, bool is_taken);
  int OnHeaderField(std::int64_t id, std::int32_t token, nghttp3_rcbuf* name, nghttp3_rcbuf* value);
  void RemoveStream(std::int64_t id);
  void ApplyStreamActions();
  void ResumeWindowBlockedStreams();
  bool WritePackets(base::TimePoint now);
  ngtcp2_ssize WritePacket(ngtcp2_path_storage& path, std::span<std::uint8_t> buffer,
                           base::TimePoint now);
  int HttpFailure(int result);
  void Fail(int transport_error, base::TimePoint now);
  void WriteClose(const ngtcp2_connection_close_error& error, base::TimePoint now);
  void End(State state, const ConnectionEnd& end, base::TimePoint now);
  void UpdateKeepAlive();

  Limits limits_;
  DatagramSink& sink_;
  ngtcp2_crypto_conn_ref reference_;
  std::optional<TlsSession> session_;
  std::unique_ptr<ngtcp2_conn, ConnectionDeleter> transport_;
  std::unique_ptr<nghttp3_conn, ConnectionDeleter> http_;
  std::map<std::int64_t, std::unique_ptr<Stream>> streams_;
  std::vector<std::unique_ptr<Stream>> closed_streams_;  // kept until no callback runs
  std::vector<std::int64_t> resumed_streams_;
  std::vector<std::int64_t> window_blocked_streams_;  // by the connection's window
  std::vector<StreamAction> stream_actions_;
  std::optional<std::uint64_t> http_error_;  // application error to close with
  State state_ = State::kOpen;
  base::TimePoint end_time_{};  // of closing or draining
  Path close_path_;
  std::vector<std::uint8_t> close_packet_;
  std::uint64_t datagrams_while_closing_ = 0;
  std::size_t packets_sent_ = 0;
  base::TimePoint earliest_timer_{};
};

}  // namespace gaugevalve::quic
