// The command line of the stand-ins and tools.
#pragma once

#include <string>

namespace gaugevalve::standins {

// Reads the program's flags by command_line::Parse(). Throws base::FindingsError for arguments that
// are no flags.
void ParseFlags(int argc, char** argv, const std::string& purpose);

// The program's exit statuses in common.
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

// Runs `body` after ParseFlags() and returns its result. Prints what it throws: kExitUsage for
// base::FindingsError, kExitFailure for another exception.
int RunProgram(int argc, char** argv, const std::string& purpose, int (*body)());

}  // namespace gaugevalve::standins
