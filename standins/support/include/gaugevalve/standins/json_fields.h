// Reads a flat JSON object of settings that can be changed at run time, such as faults.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::standins {

// Returns the whole milliseconds in a duration, as JsonFields::ReadMilliseconds() takes them.
std::int64_t InMilliseconds(base::Duration duration);

// Takes one field after the other into variables, which keep their value when the field is absent,
// and collects everything that is wrong. Call Finish() at the end.
class JsonFields {
 public:
  // `subject` names the document in findings. Throws base::FindingsError when `text` is no object.
  JsonFields(std::string subject, std::string_view text);

  void ReadFlag(const std::string& name, bool& value);

  // Takes a number from 0 to 1.
  void ReadFraction(const std::string& name, double& value);

  // Takes a whole number from 0 to kLargestCount.
  void ReadCount(const std::string& name, std::uint32_t& value);

  // Takes a whole number of milliseconds, at most kLargestCount.
  void ReadMilliseconds(const std::string& name, base::Duration& value);

  // Takes one of `names` and stores its index.
  void ReadChoice(const std::string& name, const std::vector<std::string>& names,
                  std::size_t& index);

  // Takes a list of texts.
  void ReadTexts(const std::string& name, std::vector<std::string>& value);

  // Adds a finding about a field.
  void Report(const std::string& name, const std::string& message);

  // Throws base::FindingsError when anything was wrong or a field was never asked for.
  void Finish();

  static constexpr std::uint64_t kLargestCount = 1'000'000;

 private:
  const nlohmann::json* Find(const std::string& name);

  std::string subject_;
  nlohmann::json document_;
  std::set<std::string> known_;
  base::Findings findings_;
};

}  // namespace gaugevalve::standins
