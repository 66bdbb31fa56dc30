// Runs commands as main() does, and keeps what they print.
#pragma once

#include <chrono>
#include <sstream>
#include <string>
#include <vector>

#include "command_table.h"

namespace gaugevalve::ctl {

// What a command did.
struct CommandResult {
  ExitCode exit_code = ExitCode::kOk;
  std::string out;
  std::string err;
};

// Returns options that are good for most tests.
inline Options TestOptions() {
  Options options;
  options.timeout = std::chrono::seconds(60);
  options.author = "ana";
  options.limit = 20;
  return options;
}

inline CommandResult RunWith(const Options& options, SettingsStore& store,
                             const std::vector<std::string>& words) {
  std::ostringstream out;
  std::ostringstream err;
  const CommandContext context{options, store, out, err};
  const ExitCode exit_code = RunCommand(context, words);
  return {exit_code, out.str(), err.str()};
}

}  // namespace gaugevalve::ctl
