#include "gaugevalve/base/socket_address.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstring>
#include <system_error>

#include "absl/strings/str_cat.h"

namespace gaugevalve::base {
namespace {

constexpr std::size_t kIpv4Length = 4;

// The host and port parts of an address in text form.
struct HostAndPort {
  std::string host;
  std::string_view port;
  AddressFamily family = AddressFamily::kIpv4;
};

std::optional<HostAndPort> Split(std::string_view text) {
  if (text.starts_with('[')) {
    const std::size_t end = text.find("]:");
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    return HostAndPort{std::string(text.substr(1, end - 1)), text.substr(end + 2),
                       AddressFamily::kIpv6};
  }
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  return HostAndPort{std::string(text.substr(0, colon)), text.substr(colon + 1),
                     AddressFamily::kIpv4};
}

bool ParsePort(std::string_view text, std::uint16_t& port) {
  const char* const end = text.data() + text.size();
  const std::from_chars_result result = std::from_chars(text.data(), end, port);
  return result.ec == std::errc() && result.ptr == end;
}

int NativeFamily(AddressFamily family) {
  return family == AddressFamily::kIpv4 ? AF_INET : AF_INET6;
}

}  // namespace

std::optional<SocketAddress> SocketAddress::Parse(std::string_view text) {
  const std::optional<HostAndPort> parts = Split(text);
  SocketAddress result;
  if (!parts || !ParsePort(parts->port, result.port)) {
    return std::nullopt;
  }
  result.family = parts->family;
  if (inet_pton(NativeFamily(result.family), parts->host.c_str(), result.address.data()) != 1) {
    return std::nullopt;
  }
  return result;
}

std::optional<SocketAddress> SocketAddress::FromNative(const sockaddr_storage& storage) {
  SocketAddress result;
  if (storage.ss_family == AF_INET) {
    sockaddr_in native{};
    std::memcpy(&native, &storage, sizeof(native));
    std::memcpy(result.address.data(), &native.sin_addr, kIpv4Length);
    result.port = ntohs(native.sin_port);
    return result;
  }
  if (storage.ss_family == AF_INET6) {
    sockaddr_in6 native{};
    std::memcpy(&native, &storage, sizeof(native));
    result.family = AddressFamily::kIpv6;
    std::memcpy(result.address.data(), &native.sin6_addr, result.address.size());
    result.port = ntohs(native.sin6_port);
    return result;
  }
  return std::nullopt;
}

SocketAddress SocketAddress::Ipv4(std::uint32_t address, std::uint16_t port) {
  SocketAddress result;
  const std::uint32_t network_order = htonl(address);
  std::memcpy(result.address.data(), &network_order, kIpv4Length);
  result.port = port;
  return result;
}

socklen_t SocketAddress::ToNative(sockaddr_storage& storage) const {
  std::memset(&storage, 0, sizeof(storage));
  if (family == AddressFamily::kIpv4) {
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(port);
    std::memcpy(&native.sin_addr, address.data(), kIpv4Length);
    std::memcpy(&storage, &native, sizeof(native));
    return sizeof(native);
  }
  sockaddr_in6 native{};
  native.sin6_family = AF_INET6;
  native.sin6_port = htons(port);
  std::memcpy(&native.sin6_addr, address.data(), address.size());
  std::memcpy(&storage, &native, sizeof(native));
  return sizeof(native);
}

std::string SocketAddress::ToString() const {
  char text[INET6_ADDRSTRLEN] = {};
  inet_ntop(NativeFamily(family), address.data(), text, sizeof(text));
  return family == AddressFamily::kIpv4 ? absl::StrCat(text, ":", port)
                                        : absl::StrCat("[", text, "]:", port);
}

}  // namespace gaugevalve::base
