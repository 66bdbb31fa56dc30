#include "gaugevalve/quic/http3_server.h"

#include <absl/container/flat_hash_map.h>
#include <ngtcp2/ngtcp2_crypto.h>

#include <algorithm>
#include <array>
#include <set>
#include <stdexcept>
#include <utility>
#include <vector>

#include "native.h"
#include "server_connection.h"

namespace gaugevalve::quic {
namespace {

constexpr std::size_t kRetrySecretLength = 32;
constexpr std::chrono::seconds kRetryTokenLifetime{10};
constexpr std::size_t kMaxResetsPerSecond = 200;

// A stateless reset is random bytes and the token. It is shorter than what it answers, so that two
// ends that reset each other stop (RFC 9000, section 10.3.3); 41 bytes look like any short packet,
// fewer still do their work: a keep-alive packet has 37.
constexpr std::size_t kMaxResetLength = 41;
constexpr std::size_t kMinResetLength =
    NGTCP2_MIN_STATELESS_RESET_RANDLEN + NGTCP2_STATELESS_RESET_TOKENLEN;

}  // namespace

class Http3Server::Core final : public ServerConnectionOwner {
 public:
  Core(const Http3ServerOptions& options, connection_id::Issuer issuer,
       CertificateCredentials credentials, DatagramSink& sink, RequestHandlerFactory& factory)
      : options_(options),
        issuer_(std::move(issuer)),
        credentials_(std::move(credentials)),
        sink_(sink),
        factory_(factory) {
    FillRandom(retry_secret_);
  }

  ~Core() override {
    for (const auto& [address, connection] : connections_) {
      connection->Abandon({});
    }
    connections_.clear();  // while the members that they call are alive
  }

  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  // ServerConnectionOwner
  void AddId(const connection_id::ConnectionId& id, ServerConnection& connection) override {
    by_id_[id] = &connection;
  }
  void RemoveId(const connection_id::ConnectionId& id) override { by_id_.erase(id); }
  connection_id::Issuer& IdIssuer() override { return issuer_; }
  RequestHandlerFactory& Factory() override { return factory_; }
  void OnHandshakeEnded() override { --handshakes_; }
  void WantFlush(ServerConnection& connection) override {
    if (std::exchange(connection.is_flush_wanted, true)) {
      return;
    }
    to_flush_.push_back(&connection);
    if (!is_in_call_) {
      sink_.RequestFlush();
    }
  }

  bool HasConnection(const connection_id::ConnectionId& id) const { return by_id_.contains(id); }

  DatagramOutcome HandleDatagram(const Path& path, std::span<const std::uint8_t> datagram,
                                 base::TimePoint now) {
    const CallGuard guard(*this);
    if (datagram.empty()) {
      return DatagramOutcome::kMalformed;  // ngtcp2 asserts that there is something to decode
    }
    ngtcp2_version_cid header{};
    const int result = ngtcp2_pkt_decode_version_cid(&header, datagram.data(), datagram.size(),
                                                     connection_id::kRoutableIdLength);
    if (result == NGTCP2_ERR_VERSION_NEGOTIATION) {
      return NegotiateVersion(path, header);
    }
    const auto id = connection_id::ConnectionId::FromBytes({header.dcid, header.dcidlen});
    if (result != 0 || !id) {
      return DatagramOutcome::kMalformed;
    }
    const auto found = by_id_.find(*id);
    if (found == by_id_.end()) {
      return header.version == 0 ? DatagramOutcome::kUnknown : HandleFirst(path, datagram, now);
    }
    ServerConnection& connection = *found->second;
    connection.HandleDatagram(path, datagram, now);
    WantFlush(connection);
    Flush(now);
    return DatagramOutcome::kHandled;
  }

  bool SendStatelessReset(const Path& path, std::span<const std::uint8_t> datagram,
                          base::TimePoint now) {
    const bool is_long = !datagram.empty() && (datagram[0] & 0x80) != 0;
    if (datagram.size() <= kMinResetLength || is_long || !TakeResetPermit(now)) {
      return false;
    }
    const auto id = connection_id::ConnectionId::FromBytes(
        datagram.subspan(1, connection_id::kRoutableIdLength));
    const auto token = issuer_.ResetToken(*id);
    if (!token) {
      return false;
    }
    const std::size_t length = std::min(datagram.size() - 1, kMaxResetLength);
    std::array<std::uint8_t, kMaxResetLength> random{};
    FillRandom(random);
    std::array<std::uint8_t, kMaxResetLength> buffer{};
    const ngtcp2_ssize written =
        ngtcp2_pkt_write_stateless_reset(buffer.data(), length, token->data(), random.data(),
                                         length - NGTCP2_STATELESS_RESET_TOKENLEN);
    return SendIfWritten(path, buffer, written);
  }

  void HandleExpiry(base::TimePoint now) {
    std::vector<ServerConnection*> due;
    for (const auto& [time, connection] : timers_) {
      if (time > now) {
        break;
      }
      due.push_back(connection);
    }
    const CallGuard guard(*this);
    for (ServerConnection* connection : due) {
      connection->HandleExpiry(now);
      connection->ContinueDrain(now);
      WantFlush(*connection);
    }
    Flush(now);
    for (ServerConnection* connection : due) {
      if (connection->IsFinished()) {
        timers_.erase({connection->timer, connection});
        std::erase(to_flush_, connection);
        connections_.erase(connection);
      }
    }
  }

  std::optional<base::TimePoint> NextExpiry() const {
    return timers_.empty() ? std::nullopt : std::optional(timers_.begin()->first);
  }

  void Flush(base::TimePoint now) {
    const CallGuard guard(*this);
    for (ServerConnection* connection : std::exchange(to_flush_, {})) {
      connection->is_flush_wanted = false;
      if (is_draining_ && connection->IsHandshakeDone()) {
        connection->StartDrain(now);
      }
      connection->Flush(now);
      UpdateTimer(*connection, now);
    }
    if (!to_flush_.empty()) {
      sink_.RequestFlush();  // what handlers wrote while they were told of room
    }
  }

  void SetCredentials(CertificateCredentials credentials) { credentials_ = std::move(credentials); }

  void Drain(base::TimePoint now) {
    is_draining_ = true;
    for (const auto& [address, connection] : connections_) {
      WantFlush(*connection);
    }
    Flush(now);
  }

  void RefuseConnections() { refuses_connections_ = true; }

  std::vector<connection_id::ConnectionId> HandshakingIds() const {
    std::vector<connection_id::ConnectionId> ids;
    for (const auto& [address, connection] : connections_) {
      if (connection->IsOpen() && !connection->IsHandshakeDone()) {
        ids.push_back(connection->ClientChosenId());
      }
    }
    return ids;
  }

  void CloseAll(base::TimePoint now) {
    RefuseConnections();
    for (const auto& [address, connection] : connections_) {
      connection->Close(Http3Error::kNoError, now);
      WantFlush(*connection);
    }
    Flush(now);
  }

  std::size_t ConnectionCount() const { return connections_.size(); }

  std::size_t RequestCount() const {
    std::size_t count = 0;
    for (const auto& [address, connection] : connections_) {
      count += connection->StreamCount();
    }
    return count;
  }

  std::vector<StreamOutput> WaitingOutputs() const {
    std::vector<StreamOutput> outputs;
    for (const auto& [address, connection] : connections_) {
      connection->AddWaitingOutputs(outputs);
    }
    return outputs;
  }

 private:
  // Marks that a public call runs: it flushes by itself in the end.
  class CallGuard {
   public:
    explicit CallGuard(Core& core) : core_(core), before_(std::exchange(core.is_in_call_, true)) {}
    ~CallGuard() { core_.is_in_call_ = before_; }
    CallGuard(const CallGuard&) = delete;
    CallGuard& operator=(const CallGuard&) = delete;

   private:
    Core& core_;
    bool before_;
  };

  DatagramOutcome HandleFirst(const Path& path, std::span<const std::uint8_t> datagram,
                              base::TimePoint now) {
    FirstPacket first{};
    const int result = ngtcp2_accept(&first.header, datagram.data(), datagram.size());
    if (result != 0) {
      return DatagramOutcome::kUnknown;
    }
    const bool may_be_retry_token =
        first.header.token.len > 0 && first.header.token.base[0] == NGTCP2_CRYPTO_TOKEN_MAGIC_RETRY;
    if (may_be_retry_token) {
      if (!VerifyRetryToken(path, first, now)) {
        return Refuse(path, first.header, NGTCP2_INVALID_TOKEN);
      }
      first.has_retry_token = true;
    }
    if (refuses_connections_ || connections_.size() >= options_.max_connections) {
      return Refuse(path, first.header, NGTCP2_CONNECTION_REFUSED);
    }
    if (!first.has_retry_token && handshakes_ >= options_.retry_from_handshakes) {
      return SendRetry(path, first.header, now);
    }
    return Open(path, first, datagram, now);
  }

  DatagramOutcome Open(const Path& path, const FirstPacket& first,
                       std::span<const std::uint8_t> datagram, base::TimePoint now) {
    ++handshakes_;
    std::unique_ptr<ServerConnection> made;
    try {
      made = std::make_unique<ServerConnection>(options_, *this, credentials_, sink_, path, first,
                                                now);
    } catch (const std::exception&) {  // TLS or the IDs give out: other connections go on
      --handshakes_;
      return Refuse(path, first.header, NGTCP2_INTERNAL_ERROR);
    }
    ServerConnection& connection = *made;
    connections_.emplace(&connection, std::move(made));
    connection.HandleDatagram(path, datagram, now);
    WantFlush(connection);
    Flush(now);
    return DatagramOutcome::kOpened;
  }

  bool VerifyRetryToken(const Path& path, FirstPacket& first, base::TimePoint now) const {
    const NativePath native_path(path);
    const ngtcp2_addr& remote = native_path.Get()->remote;
    return ngtcp2_crypto_verify_retry_token(
               &first.original_destination, first.header.token.base, first.header.token.len,
               retry_secret_.data(), retry_secret_.size(), first.header.version, remote.addr,
               remote.addrlen, &first.header.dcid, ToNative(base::Duration(kRetryTokenLifetime)),
               ToNative(now)) == 0;
  }

  DatagramOutcome SendRetry(const Path& path, const ngtcp2_pkt_hd& header, base::TimePoint now) {
    // The retried packet carries this ID, so it comes back to this agent whatever the tables say.
    const ngtcp2_cid source = ToNative(issuer_.Issue());
    const NativePath native_path(path);
    const ngtcp2_addr& remote = native_path.Get()->remote;
    std::array<std::uint8_t, NGTCP2_CRYPTO_MAX_RETRY_TOKENLEN> token{};
    const ngtcp2_ssize token_length = ngtcp2_crypto_generate_retry_token(
        token.data(), retry_secret_.data(), retry_secret_.size(), header.version, remote.addr,
        remote.addrlen, &source, &header.dcid, ToNative(now));
    if (token_length < 0) {
      throw std::runtime_error("ngtcp2: a retry token can't be made");
    }
    std::array<std::uint8_t, kMaxSentDatagram> buffer{};
    const ngtcp2_ssize written = ngtcp2_crypto_write_retry(
        buffer.data(), buffer.size(), header.version, &header.scid, &source, &header.dcid,
        token.data(), static_cast<std::size_t>(token_length));
    SendIfWritten(path, buffer, written);
    return DatagramOutcome::kRetrySent;
  }

  DatagramOutcome Refuse(const Path& path, const ngtcp2_pkt_hd& header, std::uint64_t error) {
    std::array<std::uint8_t, kMaxSentDatagram> buffer{};
    const ngtcp2_ssize written =
        ngtcp2_crypto_write_connection_close(buffer.data(), buffer.size(), header.version,
                                             &header.scid, &header.dcid, error, nullptr, 0);
    SendIfWritten(path, buffer, written);
    return DatagramOutcome::kRefused;
  }

  DatagramOutcome NegotiateVersion(const Path& path, const ngtcp2_version_cid& header) {
    const std::array<std::uint32_t, 1> versions{NGTCP2_PROTO_VER_V1};
    std::uint8_t random = 0;
    FillRandom({&random, 1});
    std::array<std::uint8_t, kMaxSentDatagram> buffer{};
    const ngtcp2_ssize written = ngtcp2_pkt_write_version_negotiation(
        buffer.data(), buffer.size(), random, header.scid, header.scidlen, header.dcid,
        header.dcidlen, versions.data(), versions.size());
    SendIfWritten(path, buffer, written);
    return DatagramOutcome::kVersionNegotiated;
  }

  bool SendIfWritten(const Path& path, std::span<const std::uint8_t> buffer, ngtcp2_ssize written) {
    if (written <= 0) {
      return false;
    }
    sink_.SendDatagram(path, buffer.first(static_cast<std::size_t>(written)));
    return true;
  }

  bool TakeResetPermit(base::TimePoint now) {
    constexpr std::chrono::seconds kPeriod{1};
    if (now - reset_period_start_ >= kPeriod) {
      reset_period_start_ = now;
      resets_in_period_ = 0;
    }
    return ++resets_in_period_ <= kMaxResetsPerSecond;
  }

  // A finished connection is destroyed by the timer, so that no caller holds a dangling reference.
  void UpdateTimer(ServerConnection& connection, base::TimePoint now) {
    const base::TimePoint due = connection.IsFinished() ? now : connection.NextDue();
    if (due == connection.timer) {
      return;
    }
    timers_.erase({connection.timer, &connection});
    connection.timer = due;
    if (due != base::TimePoint::max()) {
      timers_.insert({due, &connection});
    }
  }

  Http3ServerOptions options_;
  connection_id::Issuer issuer_;
  CertificateCredentials credentials_;
  DatagramSink& sink_;
  RequestHandlerFactory& factory_;
  std::array<std::uint8_t, kRetrySecretLength> retry_secret_{};
  absl::flat_hash_map<connection_id::ConnectionId, ServerConnection*> by_id_;
  std::set<std::pair<base::TimePoint, ServerConnection*>> timers_;
  std::vector<ServerConnection*> to_flush_;
  std::size_t handshakes_ = 0;
  bool is_in_call_ = false;
  bool is_draining_ = false;
  bool refuses_connections_ = false;
  base::TimePoint reset_period_start_{};
  std::size_t resets_in_period_ = 0;
  absl::flat_hash_map<ServerConnection*, std::unique_ptr<ServerConnection>> connections_;
};

Http3Server::Http3Server(const Http3ServerOptions& options, connection_id::Issuer issuer,
                         CertificateCredentials credentials, DatagramSink& sink,
                         RequestHandlerFactory& factory)
    : core_(std::make_unique<Core>(options, std::move(issuer), std::move(credentials), sink,
                                   factory)) {}

Http3Server::~Http3Server() = default;

bool Http3Server::HasConnection(const connection_id::ConnectionId& id) const {
  return core_->HasConnection(id);
}

DatagramOutcome Http3Server::HandleDatagram(const Path& path,
                                            std::span<const std::uint8_t> datagram,
                                            base::TimePoint now) {
  return core_->HandleDatagram(path, datagram, now);
}

bool Http3Server::SendStatelessReset(const Path& path, std::span<const std::uint8_t> datagram,
                                     base::TimePoint now) {
  return core_->SendStatelessReset(path, datagram, now);
}

void Http3Server::HandleExpiry(base::TimePoint now) { core_->HandleExpiry(now); }

std::optional<base::TimePoint> Http3Server::NextExpiry() const { return core_->NextExpiry(); }

void Http3Server::Flush(base::TimePoint now) { core_->Flush(now); }

void Http3Server::SetCredentials(CertificateCredentials credentials) {
  core_->SetCredentials(std::move(credentials));
}

void Http3Server::SetCodec(std::shared_ptr<const connection_id::Codec> codec) {
  core_->IdIssuer().SetCodec(std::move(codec));
}

void Http3Server::Drain(base::TimePoint now) { core_->Drain(now); }

void Http3Server::RefuseConnections() { core_->RefuseConnections(); }

std::vector<connection_id::ConnectionId> Http3Server::HandshakingIds() const {
  return core_->HandshakingIds();
}

void Http3Server::CloseAll(base::TimePoint now) { core_->CloseAll(now); }

std::size_t Http3Server::ConnectionCount() const { return core_->ConnectionCount(); }

std::size_t Http3Server::RequestCount() const { return core_->RequestCount(); }

std::vector<StreamOutput> Http3Server::WaitingOutputs() const { return core_->WaitingOutputs(); }

}  // namespace gaugevalve::quic
