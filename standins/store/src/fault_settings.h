// The faults the stand-in store can show, switched at run time.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "gaugevalve/base/time.h"

namespace gaugevalve::standins {

// How the store is away.
enum class Outage : std::uint8_t {
  kNone,
  kRefuse,       // connections are refused and open ones closed
  kHang,         // connections are accepted, requests never answered nor applied
  kUnavailable,  // requests are answered 503 and not applied
};

// All faults; the default is none.
struct FaultSettings {
  Outage outage = Outage::kNone;
  base::Duration delay{};                 // between applying a request and answering it
  std::uint32_t requests_per_second = 0;  // above 0: more are answered 429, after a second's burst
  // Answers to this many of the next writes are lost after the write took effect: the connection
  // is closed instead.
  std::uint32_t lost_answers = 0;
  bool stale_watches = false;  // streams stay open and deliver nothing

  friend bool operator==(const FaultSettings&, const FaultSettings&) = default;
};

// Returns `current` with the fields that the JSON object names replaced: "outage" ("none",
// "refuse", "hang", "unavailable"), "delay_ms", "requests_per_second", "lost_answers",
// "stale_watches". Throws base::FindingsError with every fault found.
FaultSettings FaultsFromJson(const FaultSettings& current, std::string_view text);

// Returns the settings as the JSON that FaultsFromJson() reads.
std::string FaultsToJson(const FaultSettings& faults);

}  // namespace gaugevalve::standins
