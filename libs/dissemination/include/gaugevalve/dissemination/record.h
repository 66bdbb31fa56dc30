// A record: the unit of dissemination.
//
// A record consists of a key, a version and a value, which is opaque to this library. Of two
// records with the same key, the one with the larger stamp wins on every node, regardless of the
// order of arrival.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace gaugevalve::dissemination {

// Identifies a record. `kind` is defined by the application (below 32). `scope` subdivides a kind,
// for instance by service; a kind with a single record uses scope 0.
struct RecordKey {
  std::uint32_t kind = 0;
  std::uint32_t scope = 0;

  friend auto operator<=>(const RecordKey&, const RecordKey&) = default;

  template <class HashState>
  friend HashState AbslHashValue(HashState state, const RecordKey& key) {
    return HashState::combine(std::move(state), key.kind, key.scope);
  }
};

// A version assigned by the record's author; compared field by field.
struct RecordVersion {
  std::uint64_t major = 0;
  std::uint64_t minor = 0;

  friend auto operator<=>(const RecordVersion&, const RecordVersion&) = default;
};

// Orders the records of one key. The digest of the value breaks ties, so that nodes agree even if
// two authors assign the same version to different values. A default stamp is older than any
// record.
struct RecordStamp {
  RecordVersion version;
  std::uint64_t digest = 0;

  friend auto operator<=>(const RecordStamp&, const RecordStamp&) = default;
};

// Transforms the value with the stamp `base` into the next value (see value_codec.h).
struct Patch {
  RecordStamp base;
  std::string data;

  friend bool operator==(const Patch&, const Patch&) = default;
};

// A record as stored. The value is shared and immutable.
struct Record {
  RecordKey key;
  RecordStamp stamp;
  std::shared_ptr<const std::string> value;
  std::vector<Patch> patches;  // the latest changes that led to `value`, oldest first; may be empty
};

// The set of records that a node holds.
struct Interest {
  bool everything = false;
  std::uint32_t scope = 0;         // all records of this scope; 0: none
  std::uint32_t common_kinds = 0;  // bit k set: all records of kind k

  // Returns whether a node with this interest holds records of this key.
  bool Covers(const RecordKey& key) const {
    const bool common = ((common_kinds >> (key.kind % 32U)) & 1U) != 0;
    return everything || common || (scope != 0 && key.scope == scope);
  }

  friend bool operator==(const Interest&, const Interest&) = default;
};

}  // namespace gaugevalve::dissemination
