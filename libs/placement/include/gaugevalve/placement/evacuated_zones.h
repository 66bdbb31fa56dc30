/// @file
/// The zones to which the operator wants no new flows.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gaugevalve::placement {

/// All zones that are evacuated at one moment, as one value: a zone is taken back by a newer value
/// without it. Travels with greetings and reports; the newer version wins, so that neither an
/// evacuation nor its end is lost or undone by a node that was away. Open flows aren't touched.
struct EvacuatedZones {
  /// More than this are refused where they are read: each datagram of control carries the list.
  static constexpr std::size_t kMaxZones = 32;

  std::uint64_t version = 0;       ///< rises with each reading of the operator's word; 0: not known
  std::vector<std::string> zones;  ///< sorted, each once

  /// Returns whether `zone` is to get no new flow.
  bool Has(std::string_view zone) const;

  /// Takes `other` if it is newer.
  /// @return  whether the zones themselves have changed
  bool Take(const EvacuatedZones& other);

  friend bool operator==(const EvacuatedZones&, const EvacuatedZones&) = default;
};

/// Returns the zones' names, joined with commas, for logs.
std::string JoinZones(const EvacuatedZones& evacuated);

}  // namespace gaugevalve::placement
