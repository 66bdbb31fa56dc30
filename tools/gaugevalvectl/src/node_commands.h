// The commands that ask running nodes.
#pragma once

#include <string>
#include <vector>

#include "command_context.h"
#include "deployment_status.h"

namespace gaugevalve::ctl {

// Asks the nodes of --node, then the members that they name; returns what all of them say.
DeploymentStatus AskDeployment(const CommandContext& context);

// Each takes its arguments after the command's word and returns how it ended.
ExitCode Status(const CommandContext& context, const std::vector<std::string>& arguments);
ExitCode Explain(const CommandContext& context, const std::vector<std::string>& arguments);

}  // namespace gaugevalve::ctl
