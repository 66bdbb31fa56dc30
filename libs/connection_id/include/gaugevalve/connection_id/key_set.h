// The keys under which connection IDs are encrypted; several live at once so that they can rotate.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::connection_id {

// Number of values of the three config rotation bits that name a key. The eighth, 0b111, marks an
// ID that can't be routed (QUIC-LB draft, "Config Rotation").
inline constexpr std::size_t kKeySlots = 7;

// Length of a key: AES-128.
inline constexpr std::size_t kKeyLength = 16;

using Key = std::array<std::uint8_t, kKeyLength>;

// Up to seven keys, each in the slot that the config rotation bits of an ID name, one of which is
// used for new IDs. A plain value.
//
// Rotation in three changes of settings: add the new key everywhere; make it the one in use; remove
// the old one when no agent reports connections under it. IDs under a removed key no longer route.
class KeySet {
 public:
  KeySet() = default;

  // Reads a key file: a line "SLOT:KEY" for each key, with KEY in hexadecimal; the first one is in
  // use for new IDs. Empty lines and those that begin with '#' are passed over. Every fault is
  // appended to `findings` with its line; the result is usable only if none was.
  static KeySet Parse(std::string_view text, const std::string& file, base::Findings& findings);

  // The same from the file of this name.
  static KeySet Load(const std::string& file, base::Findings& findings);

  // Puts `key` into a slot below kKeySlots. The first key added is the one in use.
  // Throws std::out_of_range for another slot and std::invalid_argument for a slot that is taken.
  void Add(std::size_t slot, const Key& key);

  // Returns the key in a slot, or null.
  const Key* Find(std::size_t slot) const;

  // Returns the slot in use for new IDs; nothing when there is no key.
  std::optional<std::size_t> ActiveSlot() const { return active_slot_; }

  friend bool operator==(const KeySet&, const KeySet&) = default;

 private:
  void ParseLine(std::string_view line, const base::SourcePlace& place, base::Findings& findings);

  std::array<std::optional<Key>, kKeySlots> keys_;
  std::optional<std::size_t> active_slot_;
};

}  // namespace gaugevalve::connection_id
