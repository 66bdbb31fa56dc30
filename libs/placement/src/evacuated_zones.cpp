#include "gaugevalve/placement/evacuated_zones.h"

#include <algorithm>

namespace gaugevalve::placement {

bool EvacuatedZones::Has(std::string_view zone) const {
  return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

bool EvacuatedZones::Take(const EvacuatedZones& other) {
  if (other.version <= version) {
    return false;
  }
  const bool has_changed = other.zones != zones;
  *this = other;
  return has_changed;
}

std::string JoinZones(const EvacuatedZones& evacuated) {
  std::string text;
  for (const std::string& zone : evacuated.zones) {
    text += (text.empty() ? "" : ",") + zone;
  }
  return text;
}

}  // namespace gaugevalve::placement
