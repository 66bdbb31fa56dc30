/// @file
/// One life of an endpoint, from its start to its end.
#pragma once

#include <cstdint>
#include <string>

namespace gaugevalve::placement {

/// What tells one life of an endpoint from another: an endpoint that starts again may keep its
/// identifier, and then holds and knows nothing of before.
struct EndpointIncarnation {
  std::string id;
  /// When it started, by its machine's time of day: Unix milliseconds; 0 where it doesn't say. It
  /// orders the lives at one address, unless the clock was set back between them.
  std::uint64_t started_ms = 0;

  friend bool operator==(const EndpointIncarnation&, const EndpointIncarnation&) = default;

  /// Returns whether nothing is known of any life.
  bool IsEmpty() const { return id.empty(); }

  /// Returns whether this life started after `other` did, by what both say.
  bool StartedAfter(const EndpointIncarnation& other) const {
    return other.started_ms != 0 && started_ms > other.started_ms;
  }
};

/// Returns what stands for an incarnation where a few bytes have to do. One that doesn't say when
/// it started has the hash of its identifier.
std::uint32_t EndpointHash(const EndpointIncarnation& incarnation);

}  // namespace gaugevalve::placement
