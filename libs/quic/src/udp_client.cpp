#include "gaugevalve/quic/udp_client.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace gaugevalve::quic {
namespace {

constexpr std::size_t kMaxDatagram = 65'536;
constexpr int kMaxDatagramsAtOnce = 64;  // then the loop's other events have their turn
constexpr int kReceiveBuffer = 1 << 20;  // bytes; an answer's packets come in bursts

[[noreturn]] void ThrowErrno(const char* what) {
  throw std::system_error(errno, std::generic_category(), what);
}

event* CheckEvent(event* made) {
  if (made == nullptr) {
    throw std::runtime_error("libevent: no event");
  }
  return made;
}

}  // namespace

// A UDP socket connected to the server.
class UdpClient::Socket {
 public:
  explicit Socket(const base::SocketAddress& remote) {
    sockaddr_storage native{};
    const socklen_t length = remote.ToNative(native);
    descriptor_ = socket(native.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor_ < 0) {
      ThrowErrno("a UDP socket");
    }
    // Best effort: a smaller buffer only loses more.
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer);
    if (connect(descriptor_, reinterpret_cast<const sockaddr*>(&native), length) != 0) {
      const int error = errno;
      close(descriptor_);
      throw std::system_error(error, std::generic_category(),
                              "a UDP socket to " + remote.ToString());
    }
    path_ = {LocalAddress(), remote};
  }
  ~Socket() { close(descriptor_); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int Descriptor() const { return descriptor_; }
  const Path& Ends() const { return path_; }

 private:
  base::SocketAddress LocalAddress() const {
    sockaddr_storage native{};
    socklen_t length = sizeof native;
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&native), &length);
    return base::SocketAddress::FromNative(native).value_or(base::SocketAddress{});
  }

  int descriptor_ = -1;
  Path path_;
};

UdpClient::UdpClient(event_base* base, const base::Clock& clock, Http3ClientOptions options,
                     ClientEvents& events)
    : base_(base), clock_(clock), socket_(std::make_unique<Socket>(options.path.remote)) {
  options.path = socket_->Ends();
  client_ = std::make_unique<Http3Client>(std::move(options), *this, events);
  timer_.reset(CheckEvent(evtimer_new(
      base_,
      [](evutil_socket_t, short, void* self) {  // NOLINT(google-runtime-int)
        auto& client = *static_cast<UdpClient*>(self);
        client.client_->HandleExpiry(client.clock_.Now());
        client.UpdateTimer();
      },
      this)));
  flush_.reset(CheckEvent(event_new(
      base_, -1, 0,
      [](evutil_socket_t, short, void* self) {  // NOLINT(google-runtime-int)
        auto& client = *static_cast<UdpClient*>(self);
        client.client_->Flush(client.clock_.Now());
        client.UpdateTimer();
      },
      this)));
}

UdpClient::~UdpClient() = default;

void UdpClient::Connect() {
  readable_.reset(CheckEvent(event_new(
      base_, socket_->Descriptor(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) {  // NOLINT(google-runtime-int)
        static_cast<UdpClient*>(self)->Receive();
      },
      this)));
  event_add(readable_.get(), nullptr);
  if (client_->IsConnected()) {
    return;
  }
  client_->Connect(clock_.Now());
  UpdateTimer();
}

bool UdpClient::Rebind() {
  auto socket = std::make_unique<Socket>(socket_->Ends().remote);
  std::swap(socket_, socket);
  if (!client_->Migrate(socket_->Ends(), clock_.Now())) {
    std::swap(socket_, socket);
    return false;
  }
  Connect();  // the new socket's event replaces the old one's
  UpdateTimer();
  return true;
}

void UdpClient::Close() {
  client_->Close(clock_.Now());
  UpdateTimer();
}

void UdpClient::SendDatagram(const Path& path, std::span<const std::uint8_t> payload) {
  if (path.local == socket_->Ends().local) {
    // A datagram that can't be sent is lost, which QUIC makes good.
    static_cast<void>(send(socket_->Descriptor(), payload.data(), payload.size(), 0));
  }
}

void UdpClient::RequestFlush() { event_active(flush_.get(), 0, 0); }

void UdpClient::Receive() {
  std::array<std::uint8_t, kMaxDatagram> buffer;
  for (int count = 0; count < kMaxDatagramsAtOnce; ++count) {
    const ssize_t received = recv(socket_->Descriptor(), buffer.data(), buffer.size(), 0);
    if (received < 0) {
      break;  // none left, or an ICMP error that the timers deal with
    }
    client_->HandleDatagram(
        socket_->Ends(), std::span(buffer).first(static_cast<std::size_t>(received)), clock_.Now());
  }
  UpdateTimer();
}

void UdpClient::UpdateTimer() {
  const auto due = client_->NextExpiry();
  if (!due) {
    event_del(timer_.get());
    return;
  }
  const auto wait = std::max(*due - clock_.Now(), base::Duration{0});
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait);
  const timeval timeout{static_cast<time_t>(seconds.count()),
                        static_cast<suseconds_t>((wait - seconds).count())};
  event_add(timer_.get(), &timeout);
}

}  // namespace gaugevalve::quic
