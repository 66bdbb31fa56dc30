#include "gaugevalve/connection_id/key_set.h"

#include <charconv>
#include <fstream>
#include <iterator>
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

// Takes the text up to the next line's end off the front of `rest`.
std::string_view TakeLine(std::string_view& rest) {
  const std::size_t end = rest.find('\n');
  const std::string_view line = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

bool IsComment(std::string_view line) { return line.empty() || line.starts_with('#'); }

}  // namespace

KeySet KeySet::Parse(std::string_view text, const std::string& file, base::Findings& findings) {
  KeySet keys;
  const std::size_t findings_before = findings.size();
  std::string_view rest = text;
  for (std::size_t line_number = 1; !rest.empty(); ++line_number) {
    const std::string_view line = TakeLine(rest);
    if (!IsComment(line)) {
      keys.ParseLine(line, {file, line_number, 0, ""}, findings);
    }
  }
  if (!keys.ActiveSlot() && findings.size() == findings_before) {
    findings.push_back({{file, 0, 0, ""}, "holds no connection ID key"});
  }
  return keys;
}

// The findings never quote the line: it is secret.
void KeySet::ParseLine(std::string_view line, const base::SourcePlace& place,
                       base::Findings& findings) {
  const auto report = [&](const std::string& fault) { findings.push_back({place, fault}); };
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    report("must be SLOT:KEY");
    return;
  }
  const auto slot = ParseSlot(line.substr(0, colon));
  const auto key = ParseKey(line.substr(colon + 1));
  if (!slot) {
    report("the slot must be a number from 0 to " + std::to_string(kKeySlots - 1));
  }
  if (!key) {
    report("the key must be " + std::to_string(2 * kKeyLength) + " hexadecimal digits");
  }
  if (slot && Find(*slot) != nullptr) {
    report("the slot " + std::to_string(*slot) + " is taken by an earlier key");
  } else if (slot && key) {
    Add(*slot, *key);
  }
}

KeySet KeySet::Load(const std::string& file, base::Findings& findings) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream.is_open()) {
    findings.push_back({{file, 0, 0, ""}, "can't be read"});
    return {};
  }
  const std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  return Parse(text, file, findings);
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
