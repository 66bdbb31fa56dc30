// Compression of record values, and patches between two values, both by zstd.
//
// A patch is the new value compressed with the old one as its dictionary, so it needs no knowledge
// of what the bytes mean and costs a few dozen bytes for a small change.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gaugevalve::dissemination {

// Returns the compressed value.
std::string CompressValue(std::string_view value);

// Returns the value, or nothing when the input is malformed or longer than `max_bytes` unpacked.
std::optional<std::string> DecompressValue(std::string_view compressed, std::size_t max_bytes);

// Returns what ApplyPatch() needs to turn `base` into `value`.
std::string MakePatch(std::string_view base, std::string_view value);

// Returns the patched value, or nothing when the patch is malformed or its result longer than
// `max_bytes`. With another base than the patch was made for the result is nothing or wrong bytes:
// the caller compares the record's digest.
std::optional<std::string> ApplyPatch(std::string_view base, std::string_view patch,
                                      std::size_t max_bytes);

}  // namespace gaugevalve::dissemination
