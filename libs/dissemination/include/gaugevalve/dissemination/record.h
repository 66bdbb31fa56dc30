// A record: the unit that nodes spread among themselves.
//
// A record is a key, a version and some bytes that this library never looks into. Of two records
// with one key the one with the larger stamp wins, on every node, whatever the order of arrival.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace gaugevalve::dissemination {

// Names a record. `kind` is the embedding program's (below 32), `scope` divides a kind, for
// instance by service; kinds that exist once use scope 0.
struct RecordKey {
  std::uint32_t kind = 0;
  std::uint32_t scope = 0;

  friend auto operator<=>(const RecordKey&, const RecordKey&) = default;

  template <class HashState>
  friend HashState AbslHashValue(HashState state, const RecordKey& key) {
    return HashState::combine(std::move(state), key.kind, key.scope);
  }
};

// Version given by the record's author; compared field by field.
struct RecordVersion {
  std::uint64_t major = 0;
  std::uint64_t minor = 0;

  friend auto operator<=>(const RecordVersion&, const RecordVersion&) = default;
};

// The order of records of one key. The digest of the bytes breaks ties, so that nodes agree even if
// two authors gave the same version to different bytes. A default stamp is older than any record.
struct RecordStamp {
  RecordVersion version;
  std::uint64_t digest = 0;

  friend auto operator<=>(const RecordStamp&, const RecordStamp&) = default;
};

// What turns the bytes under the stamp `base` into the next bytes (see value_codec.h).
struct Patch {
  RecordStamp base;
  std::string data;

  friend bool operator==(const Patch&, const Patch&) = default;
};

// One record as it is held. The bytes are shared, never changed.
struct Record {
  RecordKey key;
  RecordStamp stamp;
  std::shared_ptr<const std::string> value;
  std::vector<Patch> patches;  // the last steps that led to `value`, oldest first; may be empty
};

// Which records a node holds.
struct Interest {
  bool everything = false;
  std::uint32_t scope = 0;         // all records of this scope; 0 means none
  std::uint32_t common_kinds = 0;  // bit k set: all records of kind k

  // True when a node with this interest holds records of this key.
  bool Covers(const RecordKey& key) const {
    const bool common = ((common_kinds >> (key.kind % 32U)) & 1U) != 0;
    return everything || common || (scope != 0 && key.scope == scope);
  }

  friend bool operator==(const Interest&, const Interest&) = default;
};

}  // namespace gaugevalve::dissemination
