// Version of a service's bucket table.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace gaugevalve::routing {

// Version of a bucket or of a whole table; a larger one is newer. Compared field by field.
struct TableVersion {
  std::uint64_t epoch = 0;       // store revision of the coordinator's lease: the fencing token
  std::uint32_t generation = 0;  // planner take-overs within the epoch
  std::uint32_t sequence = 0;    // number of the delta by one planner

  friend auto operator<=>(const TableVersion&, const TableVersion&) = default;

  friend std::ostream& operator<<(std::ostream& stream, const TableVersion& version) {
    return stream << version.epoch << '.' << version.generation << '.' << version.sequence;
  }
};

}  // namespace gaugevalve::routing
