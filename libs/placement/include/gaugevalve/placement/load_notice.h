/// @file
/// Compact datagram with the load of an endpoint, sent by its agent in answer to each opening.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/placement/agent_report.h"

namespace gaugevalve::placement {

/// The frequently changing part of an agent's report. It updates a report of the same incarnation
/// that the receiver already has, and has no meaning without one.
struct LoadNotice {
  static constexpr std::size_t kSize = 30;  ///< bytes
  static constexpr std::size_t kSizeWithoutQueued =
      22;  ///< bytes; format of releases without `queued`

  base::Incarnation incarnation;  ///< incarnation of the agent; the lower 32 bits are sent
  std::uint64_t sequence = 0;  ///< shares the sequence of the reports; the lower 32 bits are sent
  std::uint32_t busy = 0;
  PriorityCounts queued{};  ///< each limited to 255
  double busy_average = 0;
  std::uint32_t open_flows = 0;
  base::Duration answer_time{0};

  /// Returns whether the notice belongs to the report's incarnation and is newer than the report.
  bool IsNewerThan(const AgentReport& report) const;
};

/// Returns a notice with the load in the report.
LoadNotice MakeLoadNotice(const AgentReport& report);

/// Returns the encoded datagram. Values too large for their field are sent as the field's maximum.
std::array<std::uint8_t, LoadNotice::kSize> EncodeLoadNotice(const LoadNotice& notice);

/// Returns the decoded notice, or nothing if the datagram isn't a load notice.
std::optional<LoadNotice> DecodeLoadNotice(std::span<const std::uint8_t> datagram);

}  // namespace gaugevalve::placement
