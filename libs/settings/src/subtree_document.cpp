#include "gaugevalve/settings/subtree_document.h"

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

#include "branch_yaml.h"
#include "gaugevalve/base/hash.h"

namespace gaugevalve::settings {
namespace {

constexpr std::size_t kDigestLength = 16;
constexpr int kHexadecimal = 16;

}  // namespace

std::string FormatDigest(SubtreeDigest digest) {
  char text[kDigestLength];
  const std::to_chars_result result =
      std::to_chars(text, text + kDigestLength, digest.value(), kHexadecimal);
  const std::string digits(text, result.ptr);
  return std::string(kDigestLength - digits.size(), '0') + digits;
}

std::optional<SubtreeDigest> ParseDigest(std::string_view text) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result result = std::from_chars(text.data(), end, value, kHexadecimal);
  if (text.size() != kDigestLength || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return SubtreeDigest(value);
}

SubtreeDigest SubtreeDocument::Digest() const { return SubtreeDigest(base::HashText(text)); }

SubtreeDocument MakeSubtreeDocument(const Branch& service) {
  return {service.name, ExportBranch(service)};
}

Branch ParseSubtreeDocument(const SubtreeDocument& document) {
  return ParseBranch(document.text, Level::kService, document.service, "store",
                     "services." + document.service);
}

}  // namespace gaugevalve::settings
