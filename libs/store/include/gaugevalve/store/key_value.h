// The store's data: keys with values and the revisions that made them.
#pragma once

#include <cstdint>
#include <string>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/strong_id.h"

namespace gaugevalve::store {

// A lease granted by the store; 0 is "no lease". Keys attached to a lease go when it expires.
using LeaseId = base::StrongId<struct LeaseIdTag, std::int64_t>;

// One key as of some revision.
struct KeyValue {
  std::string key{};
  std::string value{};
  base::Revision create_revision{};  // the write that created the key; 0 when the key is absent
  base::Revision mod_revision{};     // the last write to the key
  std::int64_t version = 0;          // writes since the creation, counted from 1
  LeaseId lease{};                   // 0 when the key is attached to none

  friend bool operator==(const KeyValue&, const KeyValue&) = default;
};

// Returns the end of the half-open key range that holds exactly the keys beginning with `prefix`.
std::string PrefixEnd(std::string prefix);

}  // namespace gaugevalve::store
