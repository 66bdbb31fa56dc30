// Why a balancer doesn't forward a datagram.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gaugevalve::forwarding {

// One reason each; the balancer counts them by reason, beside wire::DecodeError.
enum class DropReason : std::uint8_t {
  kNoView,                 // the balancer has no settings yet
  kUnknownVirtualAddress,  // no service has this destination
  kNoTable,                // the service has no bucket table yet
  kNoOwner,                // no agent of the service is known
  kNotQuic,                // an http3 service got what isn't a QUIC packet
  kSourceLimit,            // too many new connections from this source
};

inline constexpr std::size_t kDropReasonCount = 6;

// Returns the reason's name as metrics and logs show it, in snake_case.
std::string_view ToString(DropReason reason);

}  // namespace gaugevalve::forwarding
