// Reads scenarios.
#pragma once

#include <string>

#include "scenario.h"

namespace gaugevalve::lab {

// Returns the scenario in this YAML text; `file` is only named in findings. Throws
// base::FindingsError with all that is wrong.
Scenario ParseScenario(const std::string& text, const std::string& file);

// Reads the file and parses it. Throws base::FindingsError, also when it can't be read.
Scenario ReadScenario(const std::string& path);

}  // namespace gaugevalve::lab
