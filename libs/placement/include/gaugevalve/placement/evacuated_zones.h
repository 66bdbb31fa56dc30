/// @file
/// The zones that the operator has evacuated: their endpoints get no new flows.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gaugevalve::placement {

/// The complete set of evacuated zones as one versioned value; a newer value without a zone ends
/// that zone's evacuation. Greetings and reports carry it, and the newer version wins, so a node
/// that was unreachable for a while can neither lose nor undo an evacuation or its end. Open flows
/// are not affected.
struct EvacuatedZones {
  /// Longer lists are rejected when they are read, because each control datagram carries the list.
  static constexpr std::size_t kMaxZones = 32;

  std::uint64_t version = 0;       ///< rises with each read of the operator's entry; 0: unknown
  std::vector<std::string> zones;  ///< sorted, without duplicates

  /// Returns whether `zone` is evacuated.
  bool Has(std::string_view zone) const;

  /// Replaces this value with `other` if `other` is newer.
  /// @return  whether the zones themselves have changed
  bool Take(const EvacuatedZones& other);

  friend bool operator==(const EvacuatedZones&, const EvacuatedZones&) = default;
};

/// Returns the zone names separated by commas, for logs.
std::string JoinZones(const EvacuatedZones& evacuated);

}  // namespace gaugevalve::placement
