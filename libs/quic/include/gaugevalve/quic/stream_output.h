// What a server has sent, or is to send, on one stream.
#pragma once

#include <cstddef>
#include <cstdint>

#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::quic {

// A snapshot for logs. Sizes are bytes of the answer's body.
struct StreamOutput {
  base::SocketAddress remote;         // the caller, as it was first heard
  std::int64_t stream = 0;            // QUIC stream ID
  std::uint64_t acknowledged = 0;     // since the stream was opened
  std::size_t waiting = 0;            // not acknowledged yet
  std::size_t untaken = 0;            // of those, not given to QUIC yet
  bool is_ended = false;              // the whole body is there
  bool is_end_sent = false;           // QUIC has taken the end
  bool is_writable = false;           // HTTP/3 waits neither for the application nor for a window
  std::uint64_t stream_window = 0;    // that the caller leaves the stream
  std::uint64_t congestion_room = 0;  // that congestion control leaves the connection
  std::uint64_t in_flight = 0;        // of the connection
};

}  // namespace gaugevalve::quic
