// Published request headers that control how a request is handled.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gaugevalve/base/time.h"

namespace gaugevalve::requests {

// Timeout of a request, as in gRPC over HTTP/2: one to eight digits and a unit (H, M, S, m, u, n).
inline constexpr std::string_view kTimeoutHeader = "grpc-timeout";

// Marks a request that callers may repeat and that must be executed at most once (IETF draft "The
// Idempotency-Key HTTP Header Field").
inline constexpr std::string_view kIdempotencyKeyHeader = "idempotency-key";

// Urgency of a request (RFC 9218): "u=0" is the most urgent, "u=7" the least urgent.
inline constexpr std::string_view kPriorityHeader = "priority";

inline constexpr std::uint8_t kDefaultUrgency = 3;  // RFC 9218, section 4.1
inline constexpr std::uint8_t kLowestUrgency = 7;
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 255;

// Returns the duration of a grpc-timeout value; nothing if it is malformed. "0m" is a valid zero.
std::optional<base::Duration> ParseTimeout(std::string_view value);

// Returns the grpc-timeout value for a duration, rounded down to milliseconds.
std::string FormatTimeout(base::Duration time);

// Returns the urgency of a Priority value; kDefaultUrgency if it is missing or malformed, as the
// RFC requires.
std::uint8_t ParseUrgency(std::string_view value);

// Returns the creation time of the key in milliseconds since the Unix epoch if the key is a UUID of
// version 7 (RFC 9562), with or without quotes; nothing for any other key.
std::optional<std::uint64_t> KeyCreationMilliseconds(std::string_view key);

}  // namespace gaugevalve::requests
