// One service of the settings tree as it is stored and spread: on its own, so that an edit moves
// only the services that it changes.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "gaugevalve/base/strong_id.h"
#include "gaugevalve/settings/branch.h"

namespace gaugevalve::settings {

// XXH3 hash of a subtree's text. It tells apart states of one service's settings; it is no defence
// against forged ones.
using SubtreeDigest = base::StrongId<struct SubtreeDigestTag, std::uint64_t>;

// Returns 16 hexadecimal digits.
std::string FormatDigest(SubtreeDigest digest);

// Returns the digest in 16 hexadecimal digits, or nothing.
std::optional<SubtreeDigest> ParseDigest(std::string_view text);

// The text of one service's branch. A plain value.
struct SubtreeDocument {
  std::string service;  // name
  std::string text;     // canonical YAML of the branch

  // Returns the digest of the text.
  SubtreeDigest Digest() const;

  friend bool operator==(const SubtreeDocument&, const SubtreeDocument&) = default;
};

// Returns the document of a service's branch; equal branches give equal documents.
SubtreeDocument MakeSubtreeDocument(const Branch& service);

// Returns the branch in the document. Throws base::FindingsError. The fields are checked one by
// one; CheckTree() checks them together once the tree is assembled.
Branch ParseSubtreeDocument(const SubtreeDocument& document);

}  // namespace gaugevalve::settings
