// PROXY protocol version 2 ahead of each datagram: how the platform's fabric tells the original
// source and the virtual address. (The PROXY protocol, W. Tarreau, section 2.2; commands PROXY over
// UDP on IPv4 and IPv6.)
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/wire/byte_writer.h"
#include "gaugevalve/wire/decode_error.h"

namespace gaugevalve::wire {

// Largest header without fields: 16 bytes, two IPv6 addresses and two ports.
inline constexpr std::size_t kMaxPlainProxyHeaderSize = 16 + 2 * 16 + 2 * 2;

// A datagram taken apart. The spans point into the caller's bytes.
struct ProxyDatagram {
  base::SocketAddress source;            // who sent it
  base::SocketAddress destination;       // where to: a virtual address on the way in
  std::span<const std::uint8_t> fields;  // type-length-value fields, checked to be well-formed
  std::span<const std::uint8_t> payload;
};

// Takes a datagram apart without copying it. Any bytes may be passed in.
Decoded<ProxyDatagram> DecodeProxyDatagram(std::span<const std::uint8_t> datagram);

// Builds a header into a caller's buffer: the addresses first, then fields, then Finish(). Throws
// std::length_error when the buffer is too small and std::invalid_argument when the addresses are
// of two families; both are mistakes of the program, not of its input.
class ProxyHeaderWriter {
 public:
  ProxyHeaderWriter(std::span<std::uint8_t> buffer, const base::SocketAddress& source,
                    const base::SocketAddress& destination);

  // Begins a field; write its value with the returned writer, then call EndField().
  ByteWriter& BeginField(std::uint8_t type);
  void EndField();

  // Writes the length into the header and returns the header's size in bytes.
  std::size_t Finish();

 private:
  ByteWriter writer_;
  std::size_t field_start_ = 0;
};

// Builds a header without fields and returns its size in bytes.
std::size_t EncodeProxyHeader(std::span<std::uint8_t> buffer, const base::SocketAddress& source,
                              const base::SocketAddress& destination);

}  // namespace gaugevalve::wire
