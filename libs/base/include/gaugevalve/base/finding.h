// Faults found in input, each with its place, collected and reported together.
#pragma once

#include <cstddef>
#include <exception>
#include <string>
#include <vector>

namespace gaugevalve::base {

// Where a finding was made. Lines and columns count from 1; 0 means "not known".
struct SourcePlace {
  std::string file;        // file name, flag name, or "store" for a stored tree
  std::size_t line = 0;    // 1-based
  std::size_t column = 0;  // 1-based
  std::string path;        // path in the document, as in "services.stock.zones.east"

  friend bool operator==(const SourcePlace&, const SourcePlace&) = default;
};

// One fault, in words that tell the reader what to change.
struct Finding {
  SourcePlace place;
  std::string message;

  // Returns "file:line:column: path: message", leaving out what is not known.
  std::string ToString() const;

  friend bool operator==(const Finding&, const Finding&) = default;
};

using Findings = std::vector<Finding>;

// Returns all findings, a line each.
std::string FormatFindings(const Findings& findings);

// Thrown when input can't be used; carries every finding, never only the first.
class FindingsError : public std::exception {
 public:
  explicit FindingsError(Findings findings);

  const Findings& findings() const { return findings_; }  // NOLINT(readability-identifier-naming)
  const char* what() const noexcept override { return text_.c_str(); }

 private:
  Findings findings_;
  std::string text_;
};

}  // namespace gaugevalve::base
