// The network distance between two members.
#pragma once

#include <cstdint>
#include <string>

#include "gaugevalve/membership/member.h"

namespace gaugevalve::membership {

enum class Proximity : std::uint8_t { kSameZone = 0, kSameRegion = 1, kOtherRegion = 2 };

// Classifies members by their distance from one zone.
class ProximityClassifier {
 public:
  ProximityClassifier(std::string region, std::string zone)
      : region_(std::move(region)), zone_(std::move(zone)) {}

  Proximity Of(const MemberMetadata& metadata) const {
    if (metadata.region != region_) {
      return Proximity::kOtherRegion;
    }
    return metadata.zone == zone_ ? Proximity::kSameZone : Proximity::kSameRegion;
  }

 private:
  std::string region_;
  std::string zone_;
};

}  // namespace gaugevalve::membership
