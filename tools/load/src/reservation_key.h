// Idempotency keys of the load tool's reservations.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gaugevalve::load {

// Returns a UUID of version 7 (RFC 9562): the time it was made, so that the service can tell that
// the key is new, then the service, the flow and the request, so that no two are alike and a
// ledger's entry tells its flow (the last group, 48 bits). `milliseconds` is since the Unix epoch;
// of `request` 14 bits are kept.
std::string MakeReservationKey(std::uint64_t milliseconds, std::string_view service,
                               std::uint64_t flow, std::uint64_t request);

}  // namespace gaugevalve::load
