#include "reservation_key.h"

#include "absl/strings/str_format.h"
#include "gaugevalve/base/hash.h"

namespace gaugevalve::load {

std::string MakeReservationKey(std::uint64_t milliseconds, std::string_view service,
                               std::uint64_t flow, std::uint64_t request) {
  constexpr std::uint64_t kVersion = 0x7000;
  constexpr std::uint64_t kVariant = 0x8000;
  constexpr std::uint64_t kTimeMask = (std::uint64_t{1} << 48U) - 1;
  const std::uint64_t time = milliseconds & kTimeMask;
  return absl::StrFormat("%08x-%04x-%04x-%04x-%012x", time >> 16U, time & 0xFFFFU,
                         kVersion | (base::HashText(service) & 0xFFFU),
                         kVariant | (request & 0x3FFFU), flow & kTimeMask);
}

}  // namespace gaugevalve::load
