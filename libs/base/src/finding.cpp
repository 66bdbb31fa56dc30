#include "gaugevalve/base/finding.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace gaugevalve::base {

std::string Finding::ToString() const {
  std::string text = place.file;
  if (place.line > 0) {
    absl::StrAppend(&text, text.empty() ? "" : ":", place.line, ":", place.column);
  }
  if (!place.path.empty()) {
    absl::StrAppend(&text, text.empty() ? "" : ": ", place.path);
  }
  absl::StrAppend(&text, text.empty() ? "" : ": ", message);
  return text;
}

std::string FormatFindings(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    absl::StrAppend(&text, finding.ToString(), "\n");
  }
  return text;
}

FindingsError::FindingsError(Findings findings)
    : findings_(std::move(findings)), text_(FormatFindings(findings_)) {}

}  // namespace gaugevalve::base
