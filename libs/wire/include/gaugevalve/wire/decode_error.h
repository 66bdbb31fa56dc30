// Why a datagram from the network can't be understood.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

namespace gaugevalve::wire {

// One reason each; daemons count them by reason. Such a datagram is dropped, never answered.
enum class DecodeError : std::uint8_t {
  kTruncated,           // ends inside the header, or before the length the header states
  kBadSignature,        // doesn't begin with the PROXY protocol's twelve bytes
  kWrongVersion,        // not version 2 of the PROXY protocol
  kUnsupportedCommand,  // not PROXY: LOCAL carries no addresses
  kUnsupportedFamily,   // not datagrams over IPv4 or IPv6
  kBadLength,           // the stated length can't hold the family's addresses
  kMalformedTlv,        // a type-length-value field runs past the header's end
  kOversize,            // longer than the data path takes
  kMissingRoute,        // no forwarding header of ours
  kUnsupportedFormat,   // a forwarding header of a format this release doesn't know
  kMalformedRoute,      // a forwarding header whose fields contradict its format
};

inline constexpr std::size_t kDecodeErrorCount = 11;

// Returns the reason's name as metrics and logs show it, in snake_case.
std::string_view ToString(DecodeError error);

// What decoding gives: the value, or the reason why there is none.
template <class Value>
using Decoded = std::variant<Value, DecodeError>;

}  // namespace gaugevalve::wire
