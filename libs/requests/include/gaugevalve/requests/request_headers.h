// The request headers that steer a request, all of them published.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gaugevalve/base/time.h"

namespace gaugevalve::requests {

// Time left for a request, as in gRPC over HTTP/2: one to eight digits and a unit (H, M, S, m, u,
// n).
inline constexpr std::string_view kTimeoutHeader = "grpc-timeout";

// Marks a request that callers may repeat and that must run once (IETF draft "The Idempotency-Key
// HTTP Header Field").
inline constexpr std::string_view kIdempotencyKeyHeader = "idempotency-key";

// Urgency of a request (RFC 9218): "u=0" is the most, "u=7" the least urgent.
inline constexpr std::string_view kPriorityHeader = "priority";

inline constexpr std::uint8_t kDefaultUrgency = 3;  // RFC 9218, section 4.1
inline constexpr std::uint8_t kLowestUrgency = 7;
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 255;

// Returns the time of a grpc-timeout value; nothing when it is malformed. "0m" is a valid zero.
std::optional<base::Duration> ParseTimeout(std::string_view value);

// Returns the grpc-timeout value for a time, rounded down to milliseconds.
std::string FormatTimeout(base::Duration time);

// Returns the urgency of a Priority value; kDefaultUrgency where it gives none or is malformed, as
// the RFC asks.
std::uint8_t ParseUrgency(std::string_view value);

// Returns when the key was made, in milliseconds since the Unix epoch, where the key is a UUID of
// version 7 (RFC 9562), with or without quotes; nothing for any other key.
std::optional<std::uint64_t> KeyCreationMilliseconds(std::string_view key);

}  // namespace gaugevalve::requests
