#include "gaugevalve/daemon/command_line.h"

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/flags/usage_config.h"
#include "absl/strings/match.h"
#include "absl/time/time.h"
#include "gaugevalve/base/finding.h"
#include "gaugevalve/daemon/exit_code.h"
#include "gaugevalve/tasks/hangup.h"
#include "gaugevalve/telemetry/logging.h"

ABSL_FLAG(std::string, settings, "", "Settings file of this node, YAML. Required.");
ABSL_FLAG(bool, check, false,
          "Check the settings, print every finding with its place, and end: exit code 0 without "
          "findings, 2 with some.");
ABSL_FLAG(std::string, log_level, "info",
          "Lowest level of events to log: debug, info, warning, "
          "error.");
ABSL_FLAG(absl::Duration, drain_timeout, absl::Minutes(10),
          "Longest time from SIGTERM until the process ends by itself, with its unit: 30s, 10m.");

namespace gaugevalve::daemon {
namespace {

base::Finding FlagFinding(const std::string& flag, std::string message) {
  return {{.file = "--" + flag, .line = 0, .column = 0, .path = ""}, std::move(message)};
}

void ConfigureHelp(const std::string& purpose) {
  absl::SetProgramUsageMessage(purpose);
  absl::FlagsUsageConfig usage;
  usage.contains_help_flags = [](absl::string_view file) {
    return absl::StrContains(file, "daemons/");
  };
  absl::SetFlagsUsageConfig(usage);
}

std::optional<std::string> ReadFile(const std::string& path, base::Findings& findings) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    findings.push_back(FlagFinding("settings", "can't read " + path + ": " + strerror(errno)));
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
}

// Reads and checks the settings. Appends their faults to the findings.
std::optional<settings::NodeSettings> LoadSettings(settings::NodeRole role,
                                                   base::Findings& findings) {
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    findings.push_back(FlagFinding("settings", "is required: the settings file of this node"));
    return std::nullopt;
  }
  const std::optional<std::string> text = ReadFile(path, findings);
  if (!text) {
    return std::nullopt;
  }
  try {
    settings::NodeSettings result = settings::ParseNodeSettings(*text, path);
    if (result.role != role) {
      const std::string wanted(settings::NodeRoleName(role));
      findings.push_back({{.file = path, .line = 0, .column = 0, .path = "role"},
                          "must be \"" + wanted + "\" for this program"});
    }
    return result;
  } catch (const base::FindingsError& error) {
    findings.insert(findings.end(), error.findings().begin(), error.findings().end());
    return std::nullopt;
  }
}

void CheckNoArguments(const std::vector<char*>& positional, base::Findings& findings) {
  for (std::size_t index = 1; index < positional.size(); ++index) {
    findings.push_back(FlagFinding(positional[index], "is not a flag; arguments aren't taken"));
  }
}

}  // namespace

CommandLine ParseCommandLine(int argc, char** argv, settings::NodeRole role,
                             const std::string& purpose) {
  ConfigureHelp(purpose);
  base::Findings findings;
  CheckNoArguments(absl::ParseCommandLine(argc, argv), findings);
  CommandLine result;
  result.check_only = absl::GetFlag(FLAGS_check);
  result.drain_timeout = absl::ToChronoMicroseconds(absl::GetFlag(FLAGS_drain_timeout));
  if (result.drain_timeout <= base::Duration(0)) {
    findings.push_back(FlagFinding("drain_timeout", "must be above 0, such as 30s"));
  }
  const std::optional<telemetry::Level> level =
      telemetry::ParseLevel(absl::GetFlag(FLAGS_log_level));
  if (!level) {
    findings.push_back(FlagFinding("log_level", "must be debug, info, warning or error"));
  }
  std::optional<settings::NodeSettings> settings = LoadSettings(role, findings);
  if (!findings.empty()) {
    throw base::FindingsError(findings);
  }
  result.log_level = *level;
  result.settings = std::move(*settings);
  return result;
}

int RunMain(int (*body)(int argc, char** argv), int argc, char** argv) {
  tasks::IgnoreHangup();
  try {
    return body(argc, argv);
  } catch (const base::FindingsError& error) {
    std::cerr << base::FormatFindings(error.findings()) << "\n";
    return kFindings;
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return kFailure;
  }
}

void EndProcess(int exit_code) {
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(exit_code);
}

}  // namespace gaugevalve::daemon
