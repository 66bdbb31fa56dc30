// The commands that read and edit the settings tree in the store.
#pragma once

#include <string>
#include <vector>

#include "command_context.h"

namespace gaugevalve::ctl {

// Each takes its arguments after the command's words, returns how it ended, and throws
// base::FindingsError or StoreAwayError for the caller to report.
ExitCode TreeGet(const CommandContext& context, const std::vector<std::string>& arguments);
ExitCode TreeSet(const CommandContext& context, const std::vector<std::string>& arguments);
ExitCode TreeUnset(const CommandContext& context, const std::vector<std::string>& arguments);
ExitCode TreeApply(const CommandContext& context, const std::vector<std::string>& arguments);
ExitCode TreeDiff(const CommandContext& context, const std::vector<std::string>& arguments);
ExitCode TreeHistory(const CommandContext& context, const std::vector<std::string>& arguments);
ExitCode TreeUndo(const CommandContext& context, const std::vector<std::string>& arguments);
ExitCode TreeExport(const CommandContext& context, const std::vector<std::string>& arguments);
ExitCode CheckFile(const CommandContext& context, const std::vector<std::string>& arguments);
ExitCode Drain(const CommandContext& context, const std::vector<std::string>& arguments);
ExitCode Undrain(const CommandContext& context, const std::vector<std::string>& arguments);

}  // namespace gaugevalve::ctl
