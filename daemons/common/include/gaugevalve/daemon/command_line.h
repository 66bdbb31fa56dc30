// The command line of both daemons.
#pragma once

#include <string>

#include "gaugevalve/base/time.h"
#include "gaugevalve/settings/node_settings.h"
#include "gaugevalve/telemetry/event.h"

namespace gaugevalve::daemon {

// Parsed command line.
struct CommandLine {
  settings::NodeSettings settings;
  bool check_only = false;  // --check: exit after the settings have been checked
  base::Duration drain_timeout{0};
  telemetry::Level log_level = telemetry::Level::kInfo;
};

// Reads the flags and the settings file. Ends the process for --help and --version. Throws
// base::FindingsError with all faults in the flags' values and in the settings, including a
// settings file for the other daemon.
CommandLine ParseCommandLine(int argc, char** argv, settings::NodeRole role,
                             const std::string& purpose);

// Runs `body` and converts exceptions into an exit code and a message on standard error. SIGHUP is
// ignored until `body` watches for it; a program that reads no file again ignores it for good.
int RunMain(int (*body)(int argc, char** argv), int argc, char** argv);

// Ends the process with this exit code immediately, without running destructors. nng_close() of a
// listening socket races with peers that connect at that moment and may block forever (one in
// 24,000 closings by transports that dial each other). The kernel closes all sockets. Messages to
// other nodes must have been sent before the call. Log lines are written, or lost, as they occur.
[[noreturn]] void EndProcess(int exit_code);

}  // namespace gaugevalve::daemon
