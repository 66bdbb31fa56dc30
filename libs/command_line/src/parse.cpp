#include "gaugevalve/command_line/parse.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>

namespace gaugevalve::command_line {

std::vector<std::string> Parse(int argc, char** argv, const std::string& purpose) {
  absl::SetProgramUsageMessage(purpose);
  absl::FlagsUsageConfig usage;
  // Abseil's own flags (--flagfile and the like) are left to --helpfull.
  usage.contains_help_flags = [](absl::string_view file) {
    return !absl::StrContains(file, "absl/");
  };
  absl::SetFlagsUsageConfig(usage);
  const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  return {arguments.begin() + 1, arguments.end()};
}

}  // namespace gaugevalve::command_line
