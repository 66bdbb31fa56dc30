#include "gaugevalve/quic/http3_client.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include "client_stream.h"
#include "connection.h"
#include "header_block_writer.h"
#include "native.h"

namespace gaugevalve::quic {
namespace {

constexpr std::size_t kMaxHeaderSection = 64 * 1024;
constexpr std::size_t kSourceIdLength = 8;
constexpr std::size_t kDestinationIdLength = 18;  // a server's are 17: never mistaken for one

ngtcp2_cid RandomId(std::size_t length) {
  ngtcp2_cid id{};
  id.datalen = length;
  FillRandom(std::span(id.data, length));
  return id;
}

}  // namespace

class Http3Client::Core final : public Connection {
 public:
  Core(Http3ClientOptions options, DatagramSink& sink, ClientEvents& events)
      : Connection({options.stream_window, options.connection_window, 0, kMaxHeaderSection,
                    options.idle_timeout},
                   sink),
        options_(std::move(options)),
        sink_(sink),
        events_(events) {}

  void Connect(base::TimePoint now) {
    TlsSession session =
        TlsSession::ForClient(options_.credentials, options_.server_name, TlsReference());
    ngtcp2_callbacks callbacks = CommonCallbacks();
    callbacks.client_initial = ngtcp2_crypto_client_initial_cb;
    callbacks.recv_retry = ngtcp2_crypto_recv_retry_cb;
    callbacks.recv_stateless_reset = [](ngtcp2_conn*, const ngtcp2_pkt_stateless_reset*,
                                        void* user_data) {
      static_cast<Core*>(static_cast<Connection*>(user_data))->is_stateless_reset_ = true;
      return 0;
    };
    const ngtcp2_settings settings = CommonSettings(now);
    const ngtcp2_transport_params parameters = CommonParameters();
    const ngtcp2_cid destination = RandomId(kDestinationIdLength);
    const ngtcp2_cid source = RandomId(kSourceIdLength);
    const NativePath path(options_.path);
    ngtcp2_conn* transport = nullptr;
    const int result = ngtcp2_conn_client_new(&transport, &destination, &source, path.Get(),
                                              NGTCP2_PROTO_VER_V1, &callbacks, &settings,
                                              &parameters, nullptr, static_cast<Connection*>(this));
    if (result != 0) {
      throw std::runtime_error(std::string("ngtcp2: a new connection: ") + ngtcp2_strerror(result));
    }
    Adopt(transport, std::move(session));
    Flush(now);
  }

  // Returns the stream of a new request, or nothing when none can be made now.
  std::optional<RequestId> Submit(const RequestHead& head, std::span<const std::uint8_t> body,
                                  bool is_whole, std::unique_ptr<ResponseHandler> handler) {
    std::int64_t id = 0;
    if (Http() == nullptr || !IsOpen() || !is_connected_ || is_leaving_ ||
        ngtcp2_conn_open_bidi_stream(Transport(), &id, nullptr) != 0) {
      return std::nullopt;
    }
    auto stream =
        std::make_unique<ClientStream>(*this, id, options_.send_high_water, std::move(handler));
    ClientStream& added = *stream;
    AddStream(std::move(stream));
    HeaderBlockWriter block;
    block.Add(":method", head.method);
    block.Add(":scheme", head.scheme);
    block.Add(":authority", head.authority);
    block.Add(":path", head.path);
    block.Add(head.fields);
    const bool has_body = !is_whole || !body.empty();
    const int result =
        nghttp3_conn_submit_request(Http(), id, block.Lines(), block.size(),
                                    has_body ? &Connection::BodyReader() : nullptr, nullptr);
    if (result != 0) {
      added.Abandon();
      ResetStream(id, Http3Error::kInternalError);
      return std::nullopt;
    }
    if (has_body && !body.empty()) {
      added.Write(body);
    }
    if (has_body && is_whole) {
      added.EndWrite();
    }
    OnFlushWanted();
    return id;
  }

  ClientStream* Find(RequestId request) { return static_cast<ClientStream*>(FindStream(request)); }

  bool Migrate(const Path& path, base::TimePoint now) {
    if (!IsOpen() || Transport() == nullptr) {
      return false;
    }
    const NativePath native_path(path);
    const int result =
        ngtcp2_conn_initiate_immediate_migration(Transport(), native_path.Get(), ToNative(now));
    if (result == 0) {
      Flush(now);
    }
    return result == 0;
  }

  bool IsConnected() const { return is_connected_ && IsOpen(); }

 private:
  int NewHttp(nghttp3_conn** http, const nghttp3_callbacks& callbacks,
              const nghttp3_settings& settings) override {
    return nghttp3_conn_client_new(http, &callbacks, &settings, nullptr,
                                   static_cast<Connection*>(this));
  }

  std::unique_ptr<Stream> NewPeerStream(std::int64_t) override { return nullptr; }

  bool NewConnectionId(ngtcp2_cid& id, std::uint8_t* token, std::size_t length) override {
    id = RandomId(length);
    FillRandom({token, NGTCP2_STATELESS_RESET_TOKENLEN});
    return true;
  }

  void OnConnectionIdRetired(const ngtcp2_cid&) override {}

  void OnHandshakeDone() override {
    is_connected_ = true;
    events_.OnConnected();
  }

  void OnGoaway(std::int64_t first_refused) override {
    // What the server will not take is not run (RFC 9114, section 5.2).
    constexpr auto kRejected = static_cast<std::uint64_t>(Http3Error::kRequestRejected);
    ForEachStreamFrom(first_refused, [](Stream& stream) { stream.OnPeerReset(kRejected); });
    if (!std::exchange(is_leaving_, true)) {
      events_.OnGoaway();
    }
  }

  void OnEnded(const ConnectionEnd& end) override {
    ConnectionEnd told = end;
    if (is_stateless_reset_) {
      told = {ConnectionEnd::Kind::kStatelessReset, 0, "stateless reset"};
    }
    events_.OnClosed(told);
  }

  void OnFlushWanted() override { sink_.RequestFlush(); }

  Http3ClientOptions options_;
  DatagramSink& sink_;
  ClientEvents& events_;
  bool is_connected_ = false;
  bool is_leaving_ = false;
  bool is_stateless_reset_ = false;
};

Http3Client::Http3Client(Http3ClientOptions options, DatagramSink& sink, ClientEvents& events)
    : core_(std::make_unique<Core>(std::move(options), sink, events)) {}

Http3Client::~Http3Client() = default;

void Http3Client::Connect(base::TimePoint now) { core_->Connect(now); }

void Http3Client::HandleDatagram(const Path& path, std::span<const std::uint8_t> datagram,
                                 base::TimePoint now) {
  core_->HandleDatagram(path, datagram, now);
  core_->Flush(now);
}

void Http3Client::HandleExpiry(base::TimePoint now) {
  core_->HandleExpiry(now);
  core_->Flush(now);
}

std::optional<base::TimePoint> Http3Client::NextExpiry() const {
  const base::TimePoint due = core_->NextExpiry();
  return due == base::TimePoint::max() ? std::nullopt : std::optional(due);
}

void Http3Client::Flush(base::TimePoint now) { core_->Flush(now); }

std::optional<RequestId> Http3Client::SubmitRequest(const RequestHead& head,
                                                    std::span<const std::uint8_t> body,
                                                    std::unique_ptr<ResponseHandler> handler) {
  return core_->Submit(head, body, true, std::move(handler));
}

std::optional<RequestId> Http3Client::SubmitStreamedRequest(
    const RequestHead& head, std::unique_ptr<ResponseHandler> handler) {
  return core_->Submit(head, {}, false, std::move(handler));
}

bool Http3Client::WriteBody(RequestId request, std::span<const std::uint8_t> bytes) {
  ClientStream* stream = core_->Find(request);
  return stream != nullptr && stream->Write(bytes);
}

void Http3Client::FinishBody(RequestId request) {
  if (ClientStream* stream = core_->Find(request)) {
    stream->EndWrite();
  }
}

void Http3Client::Cancel(RequestId request, Http3Error error) {
  if (ClientStream* stream = core_->Find(request)) {
    stream->Abandon();
    core_->ResetStream(request, error);
  }
}

void Http3Client::PauseReading(RequestId request, bool paused) {
  if (ClientStream* stream = core_->Find(request)) {
    stream->Pause(paused);
  }
}

bool Http3Client::Migrate(const Path& path, base::TimePoint now) {
  return core_->Migrate(path, now);
}

void Http3Client::Close(base::TimePoint now) { core_->Close(Http3Error::kNoError, now); }

bool Http3Client::IsConnected() const { return core_->IsConnected(); }

bool Http3Client::IsClosed() const { return !core_->IsOpen(); }

}  // namespace gaugevalve::quic
