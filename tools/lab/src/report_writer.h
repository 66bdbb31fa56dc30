// The reports of runs. The same results give the same bytes.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "results.h"
#include "scenario.h"

namespace gaugevalve::lab {

// Writes a Markdown table of all runs, services and phases.
void WriteTables(const std::vector<RunResults>& runs, const std::vector<Phase>& phases,
                 std::ostream& stream);

// Writes a line for each run, service, window and agent.
void WriteCsv(const std::vector<RunResults>& runs, std::ostream& stream);

// Writes everything but the windows and waits.
void WriteJson(const std::vector<RunResults>& runs, const std::vector<Phase>& phases,
               std::ostream& stream);

// Writes tables to `standard_output`, and into `directory`, when it isn't empty, runs.csv,
// runs.json and one SVG plot of imbalance and one of broken flows for each service. Throws
// std::runtime_error when a file can't be written.
void WriteReports(const std::vector<RunResults>& runs, const std::vector<Phase>& phases,
                  const std::string& directory, std::ostream& standard_output);

}  // namespace gaugevalve::lab
