// Abseil's command line as all programs of the workspace use it.
#pragma once

#include <string>
#include <vector>

namespace gaugevalve::command_line {

// Reads the program's Abseil flags and returns the other arguments, without the program's name.
// Ends the process with status 1 for --help, which shows `purpose` and the program's flags with
// their defaults, and for flags that are unknown or malformed. Call it once, from main().
//
// Without it Abseil's --help shows the flags only of a file that is named for the program.
std::vector<std::string> Parse(int argc, char** argv, const std::string& purpose);

}  // namespace gaugevalve::command_line
