#include "gaugevalve/connection_id/key_set.h"

#include <charconv>
#include <stdexcept>

namespace gaugevalve::connection_id {
namespace {

constexpr int kHexadecimal = 16;

std::optional<std::size_t> ParseSlot(std::string_view text) {
  std::size_t slot = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), slot);
  const bool whole = error == std::errc{} && end == text.data() + text.size();
  return whole && slot < kKeySlots ? std::optional(slot) : std::nullopt;
}

std::optional<Key> ParseKey(std::string_view text) {
  if (text.size() != 2 * kKeyLength) {
    return std::nullopt;
  }
  Key key{};
  for (std::size_t index = 0; index < kKeyLength; ++index) {
    const char* digits = text.data() + 2 * index;
    const auto [end, error] = std::from_chars(digits, digits + 2, key[index], kHexadecimal);
    if (error != std::errc{} || end != digits + 2) {
      return std::nullopt;
    }
  }
  return key;
}

// Takes the text up to the next comma off the front of `rest`.
std::string_view TakeEntry(std::string_view& rest) {
  const std::size_t comma = rest.find(',');
  const std::string_view entry = rest.substr(0, comma);
  rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
  return entry;
}

}  // namespace

KeySet KeySet::Parse(std::string_view text, const base::SourcePlace& place,
                     base::Findings& findings) {
  // The findings never quote the text: it is secret.
  const auto report = [&](std::size_t position, const std::string& fault) {
    findings.push_back({place, "connection ID key " + std::to_string(position) + ": " + fault});
  };
  KeySet keys;
  std::string_view rest = text;
  for (std::size_t position = 1; position == 1 || !rest.empty(); ++position) {
    const std::string_view entry = TakeEntry(rest);
    const std::size_t colon = entry.find(':');
    if (colon == std::string_view::npos) {
      report(position, "must be SLOT:KEY");
      continue;
    }
    const auto slot = ParseSlot(entry.substr(0, colon));
    const auto key = ParseKey(entry.substr(colon + 1));
    if (!slot) {
      report(position, "the slot must be a number from 0 to " + std::to_string(kKeySlots - 1));
    }
    if (!key) {
      report(position, "the key must be " + std::to_string(2 * kKeyLength) + " hexadecimal digits");
    }
    if (slot && keys.Find(*slot) != nullptr) {
      report(position, "the slot " + std::to_string(*slot) + " is taken by an earlier key");
    } else if (slot && key) {
      keys.Add(*slot, *key);
    }
  }
  return keys;
}

void KeySet::Add(std::size_t slot, const Key& key) {
  if (slot >= kKeySlots) {
    throw std::out_of_range("connection ID key slot " + std::to_string(slot));
  }
  if (keys_[slot]) {
    throw std::invalid_argument("connection ID key slot " + std::to_string(slot) + " is taken");
  }
  keys_[slot] = key;
  if (!active_slot_) {
    active_slot_ = slot;
  }
}

const Key* KeySet::Find(std::size_t slot) const {
  return slot < kKeySlots && keys_[slot] ? &*keys_[slot] : nullptr;
}

}  // namespace gaugevalve::connection_id
