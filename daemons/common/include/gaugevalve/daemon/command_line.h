// The command line that both daemons have.
#pragma once

#include <string>

#include "gaugevalve/base/time.h"
#include "gaugevalve/settings/node_settings.h"
#include "gaugevalve/telemetry/event.h"

namespace gaugevalve::daemon {

// What the command line asks for.
struct CommandLine {
  settings::NodeSettings settings;
  bool check_only = false;  // --check: the settings are valid, nothing else is to be done
  base::Duration drain_timeout{0};
  telemetry::Level log_level = telemetry::Level::kInfo;
};

// Reads the flags and the settings file. Ends the process for --help and --version. Throws
// base::FindingsError with every fault of the flags' values and of the settings, also when the file
// is for the other daemon.
CommandLine ParseCommandLine(int argc, char** argv, settings::NodeRole role,
                             const std::string& purpose);

// Runs `body` and turns what it throws into an exit code and text on standard error.
int RunMain(int (*body)(int argc, char** argv), int argc, char** argv);

// Ends the process with this exit code at once, without destroying what the program consists of:
// nng_close() of a listening socket races with peers that connect at that moment, and may wait for
// ever (one in 24,000 closings by transports that dial each other). The kernel closes all sockets.
// What is to be heard by others must have been sent. Log lines are written when they are made.
[[noreturn]] void EndProcess(int exit_code);

}  // namespace gaugevalve::daemon
