// Reasons for which an http3 agent drops a datagram, in addition to flow::DropReason.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gaugevalve::agent {

// One reason each; counted in the same metric as flow::DropReason.
enum class Http3Drop : std::uint8_t {
  kNotQuic,            // no QUIC header
  kUnknownConnection,  // belongs to a connection that no known agent has
  kRefusedPacket,      // can't be the first packet of a connection
};

inline constexpr std::size_t kHttp3DropCount = 3;

// Returns the reason's name as metrics and logs show it, in snake_case.
std::string_view ToString(Http3Drop drop);

}  // namespace gaugevalve::agent
