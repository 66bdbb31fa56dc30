#include "gaugevalve/standins/command_line.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>

#include <exception>
#include <iostream>
#include <vector>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::standins {

void ParseFlags(int argc, char** argv, const std::string& purpose) {
  absl::SetProgramUsageMessage(purpose);
  absl::FlagsUsageConfig usage;
  usage.contains_help_flags = [](absl::string_view file) {
    return absl::EndsWith(file, "/main.cpp");
  };
  absl::SetFlagsUsageConfig(usage);
  const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  base::Findings findings;
  for (std::size_t index = 1; index < arguments.size(); ++index) {
    findings.push_back({{arguments[index], 0, 0, ""}, "is not a flag"});
  }
  if (!findings.empty()) {
    throw base::FindingsError(findings);
  }
}

int RunProgram(int argc, char** argv, const std::string& purpose, int (*body)()) {
  try {
    ParseFlags(argc, argv, purpose);
    return body();
  } catch (const base::FindingsError& error) {
    std::cerr << base::FormatFindings(error.findings());
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << argv[0] << ": " << error.what() << "\n";
    return kExitFailure;
  }
}

}  // namespace gaugevalve::standins
