#include "gaugevalve/transport/nng_peer_transport.h"

#include <event2/event.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>
#include <array>
#include <list>
#include <string_view>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/transport/token_bucket.h"
#include "nng_socket.h"

namespace gaugevalve::transport {
namespace {

constexpr std::uint64_t kFramingBytes = 8;         // nng's length before each message
constexpr int kReceivesPerWakeUp = 256;            // so that a flood can't starve the loop
constexpr nng_duration kMinimumReconnect = 100;    // milliseconds
constexpr nng_duration kMaximumReconnect = 5'000;  // milliseconds
constexpr timeval kIdleSweepInterval = {.tv_sec = 1, .tv_usec = 0};

struct EventDeleter {
  void operator()(event* owned) const { event_free(owned); }
};
using EventPointer = std::unique_ptr<event, EventDeleter>;

std::string MakeUrl(const base::SocketAddress& address) { return "tcp://" + address.ToString(); }

void Require(int result, std::string_view step, const std::string& url) {
  if (result != 0) {
    throw TransportError(std::string(step) + " " + url + ": " + nng_strerror(result));
  }
}

// A destination and the class of the messages that are sent there.
struct Route {
  base::SocketAddress destination;
  TrafficClass traffic = TrafficClass::kControl;

  friend bool operator==(const Route&, const Route&) = default;

  template <class HashState>
  friend HashState AbslHashValue(HashState state, const Route& route) {
    return HashState::combine(std::move(state), route.destination, route.traffic);
  }
};

// The socket of a route. The list of these is ordered by use, the most recent first.
struct Connection {
  Route route;
  NngSocket socket;
  base::TimePoint used_at;
};

}  // namespace

class NngPeerTransport::Implementation {
 public:
  Implementation(event_base* base, const base::Clock& clock, const SenderIdentity& identity,
                 NngTransportOptions options)
      : base_(base), clock_(clock), identity_(identity), options_(options) {
    if (options_.budget) {
      budget_.emplace(options_.budget->bytes_per_second, options_.budget->burst_bytes);
    }
    Listen();
    StartEvents();
  }

  SendResult Send(const Route& route, MessageKind kind, std::string payload) {
    const std::string bytes = EncodeEnvelope({identity_, kind, std::move(payload)});
    const SendResult result = SendBytes(route, bytes);
    CountSend(counters_.Of(kind), result, bytes.size());
    return result;
  }

  void SetReceiver(MessageKind kind, Receiver receiver) {
    receivers_.at(static_cast<std::size_t>(kind)) = std::move(receiver);
  }

  SenderIdentity& MutableIdentity() { return identity_; }
  const TransportCounters& Counters() const { return counters_; }
  std::size_t ConnectionCount() const { return connections_.size(); }

 private:
  using ConnectionList = std::list<Connection>;

  void Listen() {
    const std::string url = MakeUrl(identity_.control_address);
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    Require(nng_pull0_open(&socket), "open a socket for", url);
    listening_ = NngSocket(socket);
    Require(nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, options_.maximum_message_bytes),
            "limit messages on", url);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    Require(nng_listen(socket, url.c_str(), &listener, 0), "listen on", url);
    int port = 0;
    Require(nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port), "read the port of", url);
    identity_.control_address.port = static_cast<std::uint16_t>(port);
  }

  void StartEvents() {
    int descriptor = -1;
    Require(nng_socket_get_int(listening_.Get(), NNG_OPT_RECVFD, &descriptor), "watch",
            MakeUrl(identity_.control_address));
    const auto on_readable = [](evutil_socket_t, short, void* self) {
      static_cast<Implementation*>(self)->ReceiveWaiting();
    };
    const auto on_sweep = [](evutil_socket_t, short, void* self) {
      static_cast<Implementation*>(self)->CloseIdleConnections();
    };
    readable_.reset(event_new(base_, descriptor, EV_READ | EV_PERSIST, on_readable, this));
    sweep_.reset(event_new(base_, -1, EV_PERSIST, on_sweep, this));
    event_add(readable_.get(), nullptr);
    event_add(sweep_.get(), &kIdleSweepInterval);
  }

  SendResult SendBytes(const Route& route, const std::string& bytes) {
    if (bytes.size() > options_.maximum_message_bytes) {
      return SendResult::kTooLarge;
    }
    if (budget_ && !budget_->TryTake(bytes.size() + kFramingBytes, clock_.Now())) {
      return SendResult::kOverBudget;
    }
    const Connection* connection = Connect(route);
    if (connection == nullptr) {
      return SendResult::kFailed;
    }
    return Hand(connection->socket.Get(), bytes);
  }

  // Gives the bytes to nng, which sends them in the background.
  static SendResult Hand(nng_socket socket, const std::string& bytes) {
    nng_msg* raw = nullptr;
    if (nng_msg_alloc(&raw, 0) != 0) {
      return SendResult::kFailed;
    }
    NngMessage message(raw);
    if (nng_msg_append(message.get(), bytes.data(), bytes.size()) != 0) {
      return SendResult::kFailed;
    }
    const int result = nng_sendmsg(socket, message.get(), NNG_FLAG_NONBLOCK);
    if (result == 0) {
      message.release();  // NOLINT(bugprone-unused-return-value): nng owns it now
      return SendResult::kQueued;
    }
    return result == NNG_EAGAIN ? SendResult::kQueueFull : SendResult::kFailed;
  }

  // Returns the route's connection, made now if there is none; null when it can't be.
  const Connection* Connect(const Route& route) {
    const auto found = by_route_.find(route);
    if (found != by_route_.end()) {
      connections_.splice(connections_.begin(), connections_, found->second);
      connections_.front().used_at = clock_.Now();
      return &connections_.front();
    }
    std::optional<NngSocket> socket = Dial(route.destination);
    if (!socket) {
      return nullptr;
    }
    while (connections_.size() >= options_.maximum_connections) {
      CloseLeastRecentlyUsed();
    }
    connections_.push_front({route, std::move(*socket), clock_.Now()});
    by_route_[route] = connections_.begin();
    ++counters_.connections_opened;
    return &connections_.front();
  }

  std::optional<NngSocket> Dial(const base::SocketAddress& destination) const {
    nng_socket raw = NNG_SOCKET_INITIALIZER;
    if (nng_push0_open(&raw) != 0) {
      return std::nullopt;
    }
    NngSocket socket(raw);
    const bool is_ready =
        nng_socket_set_int(raw, NNG_OPT_SENDBUF, options_.send_queue_messages) == 0 &&
        nng_socket_set_ms(raw, NNG_OPT_RECONNMINT, kMinimumReconnect) == 0 &&
        nng_socket_set_ms(raw, NNG_OPT_RECONNMAXT, kMaximumReconnect) == 0 &&
        nng_dial(raw, MakeUrl(destination).c_str(), nullptr, NNG_FLAG_NONBLOCK) == 0;
    if (!is_ready) {
      return std::nullopt;
    }
    return socket;
  }

  void CloseLeastRecentlyUsed() {
    by_route_.erase(connections_.back().route);
    connections_.pop_back();
    ++counters_.connections_closed;
  }

  void CloseIdleConnections() {
    const base::TimePoint oldest = clock_.Now() - options_.idle_timeout;
    while (!connections_.empty() && connections_.back().used_at < oldest) {
      CloseLeastRecentlyUsed();
    }
  }

  void ReceiveWaiting() {
    for (int count = 0; count < kReceivesPerWakeUp; ++count) {
      nng_msg* raw = nullptr;
      if (nng_recvmsg(listening_.Get(), &raw, NNG_FLAG_NONBLOCK) != 0) {
        return;
      }
      const NngMessage message(raw);
      Deliver({static_cast<const char*>(nng_msg_body(raw)), nng_msg_len(raw)});
    }
  }

  void Deliver(std::string_view bytes) {
    const std::optional<Envelope> envelope = DecodeEnvelope(bytes);
    if (!envelope) {
      ++counters_.malformed_messages;
      return;
    }
    KindCounters& counters = counters_.Of(envelope->kind);
    ++counters.received_messages;
    counters.received_bytes += bytes.size() + kFramingBytes;
    const Receiver& receiver = receivers_.at(static_cast<std::size_t>(envelope->kind));
    if (!receiver) {
      ++counters.received_without_receiver;
      return;
    }
    receiver(*envelope);
  }

  static void CountSend(KindCounters& counters, SendResult result, std::size_t bytes) {
    switch (result) {
      case SendResult::kQueued:
        ++counters.sent_messages;
        counters.sent_bytes += bytes + kFramingBytes;
        return;
      case SendResult::kQueueFull:
        ++counters.dropped_queue_full;
        return;
      case SendResult::kOverBudget:
        ++counters.dropped_over_budget;
        return;
      case SendResult::kTooLarge:
        ++counters.dropped_too_large;
        return;
      case SendResult::kFailed:
        ++counters.dropped_failed;
        return;
    }
  }

  event_base* base_;
  const base::Clock& clock_;
  SenderIdentity identity_;
  NngTransportOptions options_;
  std::optional<TokenBucket> budget_;
  TransportCounters counters_;
  std::array<Receiver, kMessageKindSlots> receivers_;
  NngSocket listening_;
  ConnectionList connections_;
  absl::flat_hash_map<Route, ConnectionList::iterator> by_route_;
  EventPointer readable_;  // after the sockets: their events go first
  EventPointer sweep_;
};

NngPeerTransport::NngPeerTransport(event_base* base, const base::Clock& clock,
                                   const SenderIdentity& identity, NngTransportOptions options)
    : implementation_(std::make_unique<Implementation>(base, clock, identity, options)) {}

NngPeerTransport::~NngPeerTransport() = default;

SendResult NngPeerTransport::Send(const base::SocketAddress& destination, MessageKind kind,
                                  std::string payload, TrafficClass traffic) {
  return implementation_->Send({destination, traffic}, kind, std::move(payload));
}

void NngPeerTransport::SetReceiver(MessageKind kind, Receiver receiver) {
  implementation_->SetReceiver(kind, std::move(receiver));
}

void NngPeerTransport::SetIncarnation(base::Incarnation incarnation) {
  implementation_->MutableIdentity().incarnation = incarnation;
}

const SenderIdentity& NngPeerTransport::Identity() const {
  return implementation_->MutableIdentity();
}

const TransportCounters& NngPeerTransport::Counters() const { return implementation_->Counters(); }

std::size_t NngPeerTransport::ConnectionCount() const { return implementation_->ConnectionCount(); }

}  // namespace gaugevalve::transport
