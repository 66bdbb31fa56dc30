/// @file
/// Identity of one run of an endpoint process, from its start to its end.
#pragma once

#include <cstdint>
#include <string>

namespace gaugevalve::placement {

/// Distinguishes successive runs of an endpoint. A restarted endpoint may keep its identifier, but
/// it has lost all flows and state of its previous run.
struct EndpointIncarnation {
  std::string id;
  /// Start time by the clock of its machine, in Unix milliseconds; 0 if not stated. It orders the
  /// incarnations at one address, unless the clock was set back between them.
  std::uint64_t started_ms = 0;

  friend bool operator==(const EndpointIncarnation&, const EndpointIncarnation&) = default;

  /// Returns whether no incarnation is known.
  bool IsEmpty() const { return id.empty(); }

  /// Returns whether this incarnation started after `other`; false if `other` states no start time.
  bool StartedAfter(const EndpointIncarnation& other) const {
    return other.started_ms != 0 && started_ms > other.started_ms;
  }
};

/// Returns a short hash that identifies an incarnation in compact formats. Without a start time it
/// is the hash of the identifier alone.
std::uint32_t EndpointHash(const EndpointIncarnation& incarnation);

}  // namespace gaugevalve::placement
