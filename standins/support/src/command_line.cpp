#include "gaugevalve/standins/command_line.h"

#include <exception>
#include <iostream>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/command_line/parse.h"

namespace gaugevalve::standins {

void ParseFlags(int argc, char** argv, const std::string& purpose) {
  base::Findings findings;
  for (const std::string& argument : command_line::Parse(argc, argv, purpose)) {
    findings.push_back({{argument, 0, 0, ""}, "is not a flag"});
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
