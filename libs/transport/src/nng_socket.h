// Owners of nng's sockets and messages.
#pragma once

#include <nng/nng.h>

#include <memory>
#include <utility>

namespace gaugevalve::transport {

// Owns an nng socket and closes it. Movable.
class NngSocket {
 public:
  NngSocket() = default;
  explicit NngSocket(nng_socket socket) : socket_(socket) {}
  NngSocket(NngSocket&& other) noexcept : socket_(std::exchange(other.socket_, kNone)) {}
  NngSocket& operator=(NngSocket&& other) noexcept {
    std::swap(socket_, other.socket_);
    return *this;
  }
  NngSocket(const NngSocket&) = delete;
  NngSocket& operator=(const NngSocket&) = delete;
  ~NngSocket() {
    if (nng_socket_id(socket_) > 0) {
      nng_close(socket_);
    }
  }

  nng_socket Get() const { return socket_; }

 private:
  static constexpr nng_socket kNone = NNG_SOCKET_INITIALIZER;
  nng_socket socket_ = kNone;
};

// Frees an nng message; nng takes ownership of one that was sent.
struct NngMessageDeleter {
  void operator()(nng_msg* message) const { nng_msg_free(message); }
};
using NngMessage = std::unique_ptr<nng_msg, NngMessageDeleter>;

}  // namespace gaugevalve::transport
