// The tool's commands.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "command_context.h"

namespace gaugevalve::ctl {

// One command.
struct Command {
  std::string_view words;      // as typed: "tree set"
  std::string_view arguments;  // for the usage text
  std::size_t minimum_arguments;
  std::size_t maximum_arguments;
  bool needs_store;
  ExitCode (*run)(const CommandContext& context, const std::vector<std::string>& arguments);
  std::string_view description;
};

// Returns all commands.
std::span<const Command> Commands();

// Returns the usage text: every command with its arguments.
std::string UsageText();

// Runs the command in `words` (without the program's name) and reports what is thrown.
ExitCode RunCommand(const CommandContext& context, const std::vector<std::string>& words);

}  // namespace gaugevalve::ctl
