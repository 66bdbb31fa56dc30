#include "near_match.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace gaugevalve::settings {
namespace {

// Levenshtein distance, one row at a time.
std::size_t EditDistance(std::string_view first, std::string_view second) {
  std::vector<std::size_t> row(second.size() + 1);
  std::iota(row.begin(), row.end(), 0U);
  for (std::size_t i = 0; i < first.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < second.size(); ++j) {
      const std::size_t substituted = diagonal + (first[i] == second[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({substituted, diagonal + 1, row[j] + 1});
    }
  }
  return row.back();
}

}  // namespace

std::string DescribeUnknownKey(std::string_view key, std::span<const std::string_view> known) {
  const std::size_t limit = std::max<std::size_t>(1, key.size() / 3);
  std::string_view nearest;
  std::size_t nearest_distance = limit + 1;
  for (const std::string_view candidate : known) {
    const std::size_t distance = EditDistance(key, candidate);
    if (distance < nearest_distance) {
      nearest = candidate;
      nearest_distance = distance;
    }
  }
  std::string text = "unknown key '" + std::string(key) + "'";
  if (!nearest.empty()) {
    return text + "; did you mean '" + std::string(nearest) + "'?";
  }
  text += "; known here:";
  for (const std::string_view candidate : known) {
    text += " " + std::string(candidate);
  }
  return text;
}

}  // namespace gaugevalve::settings
