// How the QUIC endpoints send: datagrams with their addresses, to whoever owns a socket.
#pragma once

#include <cstdint>
#include <ostream>
#include <span>

#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::quic {

// The two ends of a datagram's way. For a server `local` is the service's virtual address.
struct Path {
  base::SocketAddress local;
  base::SocketAddress remote;

  friend bool operator==(const Path&, const Path&) = default;
};

// Takes the datagrams that an endpoint sends. QUIC repeats what is lost, so a sink that can't send
// drops the datagram.
class DatagramSink {
 public:
  virtual ~DatagramSink() = default;

  // Sends `payload` from path.local to path.remote. The bytes are valid during the call only. Must
  // not call back into the endpoint.
  virtual void SendDatagram(const Path& path, std::span<const std::uint8_t> payload) = 0;

  // The endpoint has something new to send: its Flush() should be called soon, but not from here.
  virtual void RequestFlush() = 0;
};

}  // namespace gaugevalve::quic
