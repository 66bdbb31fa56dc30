#include "native.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <cstring>
#include <stdexcept>

namespace gaugevalve::quic {
namespace {

base::SocketAddress FromNative(const ngtcp2_addr& address) {
  sockaddr_storage storage{};
  std::memcpy(&storage, address.addr, address.addrlen);
  return base::SocketAddress::FromNative(storage).value_or(base::SocketAddress{});
}

}  // namespace

Path FromNative(const ngtcp2_path& path) {
  return {FromNative(path.local), FromNative(path.remote)};
}

void FillRandom(std::span<std::uint8_t> bytes) {
  if (gnutls_rnd(GNUTLS_RND_RANDOM, bytes.data(), bytes.size()) != GNUTLS_E_SUCCESS) {
    throw std::runtime_error("the system's random source failed");
  }
}

}  // namespace gaugevalve::quic
