/// @file
/// How busy an endpoint is, in a datagram of a fixed few bytes: an agent's answer to each opening.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/placement/agent_report.h"

namespace gaugevalve::placement {

/// The part of an agent's report that changes all the time. It speaks for a report of the same life
/// that the receiver has; alone it says nothing.
struct LoadNotice {
  static constexpr std::size_t kSize = 30;       ///< bytes
  static constexpr std::size_t kOlderSize = 22;  ///< of releases without `queued`

  base::Incarnation life;      ///< of the agent; its lower 32 bits are sent
  std::uint64_t sequence = 0;  ///< counts with the reports; its lower 32 bits are sent
  std::uint32_t busy = 0;
  PriorityCounts queued{};  ///< each up to 255
  double busy_average = 0;
  std::uint32_t open_flows = 0;
  base::Duration answer_time{0};

  /// Tells whether the notice is of this report's life and newer than it.
  bool IsNewerThan(const AgentReport& report) const;
};

/// Returns the notice that says what the report says.
LoadNotice MakeLoadNotice(const AgentReport& report);

/// Returns the whole datagram. What doesn't fit its field is sent as the largest that does.
std::array<std::uint8_t, LoadNotice::kSize> EncodeLoadNotice(const LoadNotice& notice);

/// Returns the notice in a datagram, or nothing when it isn't one.
std::optional<LoadNotice> DecodeLoadNotice(std::span<const std::uint8_t> datagram);

}  // namespace gaugevalve::placement
