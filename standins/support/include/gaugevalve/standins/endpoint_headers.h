// HTTP header fields between an agent and the endpoint beside it, as an endpoint publishes them.
#pragma once

namespace gaugevalve::standins {

// An endpoint that refuses a request before any part of it ran says so with this field and value,
// beside status 503 and Retry-After. Without it an error may have come after the request ran.
inline constexpr char kOutcomeHeader[] = "Gaugevalve-Outcome";
inline constexpr char kOutcomeNotRun[] = "not-run";

// The caller's name of a request that must run at most once (draft-ietf-httpapi-idempotency-key).
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";

// The endpoint that answered.
inline constexpr char kEndpointHeader[] = "Gaugevalve-Endpoint";

}  // namespace gaugevalve::standins
