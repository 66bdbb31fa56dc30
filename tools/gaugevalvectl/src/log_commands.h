/// @file
/// Commands that read nodes' logs.
#pragma once

#include <string>
#include <vector>

#include "command_context.h"

namespace gaugevalve::ctl {

/// `explain-log CLIENT FILE...`: prints one flow's story from logs; `-` reads standard input.
/// @throws base::FindingsError for a client that is no address and for files that can't be read
ExitCode ExplainLog(const CommandContext& context, const std::vector<std::string>& arguments);

}  // namespace gaugevalve::ctl
