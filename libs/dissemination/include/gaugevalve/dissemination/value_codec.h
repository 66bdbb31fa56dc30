// Compression of record values, and patches between two values. Both use zstd.
//
// A patch is the new value compressed with the old one as its dictionary. It requires no knowledge
// of the value's format and takes a few dozen bytes for a small change.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gaugevalve::dissemination {

// Returns the compressed value.
std::string CompressValue(std::string_view value);

// Returns the value, or nothing when the input is malformed or the value is longer than
// `max_bytes`.
std::optional<std::string> DecompressValue(std::string_view compressed, std::size_t max_bytes);

// Returns the patch with which ApplyPatch() turns `base` into `value`.
std::string MakePatch(std::string_view base, std::string_view value);

// Returns the patched value, or nothing when the patch is malformed or the result is longer than
// `max_bytes`. If `base` is not the value that the patch was made from, the result is nothing or
// wrong bytes, so the caller must compare the record's digest.
std::optional<std::string> ApplyPatch(std::string_view base, std::string_view patch,
                                      std::size_t max_bytes);

}  // namespace gaugevalve::dissemination
