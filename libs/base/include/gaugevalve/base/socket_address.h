// An IP address and port, as a plain value.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace gaugevalve::base {

// The address family of a SocketAddress.
enum class AddressFamily : std::uint8_t { kIpv4 = 4, kIpv6 = 6 };

// An IPv4 or IPv6 address with a port. IPv4 uses the first four bytes, the rest are zero.
struct SocketAddress {
  AddressFamily family = AddressFamily::kIpv4;
  std::array<std::uint8_t, 16> address{};  // network byte order
  std::uint16_t port = 0;                  // host byte order

  // Returns the address for "192.0.2.1:80" or "[2001:db8::1]:80"; nothing when it is malformed.
  // Names are never looked up: processes talk by IP number.
  static std::optional<SocketAddress> Parse(std::string_view text);

  // Returns the address held by a socket call's result; nothing for other families.
  static std::optional<SocketAddress> FromNative(const sockaddr_storage& storage);

  // Returns the IPv4 address with these four bytes (host order number) and port.
  static SocketAddress Ipv4(std::uint32_t address, std::uint16_t port);

  // Fills `storage` for a socket call and returns the length to pass along.
  socklen_t ToNative(sockaddr_storage& storage) const;

  // Returns the text form that Parse() reads.
  std::string ToString() const;

  friend auto operator<=>(const SocketAddress&, const SocketAddress&) = default;

  friend std::ostream& operator<<(std::ostream& stream, const SocketAddress& socket_address) {
    return stream << socket_address.ToString();
  }

  template <class HashState>
  friend HashState AbslHashValue(HashState state, const SocketAddress& value) {
    return HashState::combine(std::move(state), value.family, value.address, value.port);
  }
};

}  // namespace gaugevalve::base
