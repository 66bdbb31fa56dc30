// How a connection can end.
#pragma once

#include <cstdint>
#include <string>

namespace gaugevalve::quic {

// Why a connection ended.
struct ConnectionEnd {
  enum class Kind : std::uint8_t {
    kClosedHere,      // Close() was called
    kClosedByPeer,    // `error` is the peer's code
    kRefused,         // the server said that it takes no connection: nothing ran
    kIdle,            // nothing was heard for the idle timeout, or the handshake's
    kStatelessReset,  // the server has no such connection any more
    kFailed,          // a local failure, such as a certificate that isn't trusted
  };

  Kind kind = Kind::kFailed;
  std::uint64_t error = 0;  // transport or application error code
  std::string reason;       // for people
};

}  // namespace gaugevalve::quic
