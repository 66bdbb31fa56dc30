// The exit codes of the daemons, as documented for operators.
#pragma once

namespace gaugevalve::daemon {

enum ExitCode : int {
  kSuccess = 0,      // ended as requested, or --check found no fault
  kFailure = 1,      // could not start or continue, for example because an address is in use
  kFindings = 2,     // faults in the command line or the settings, printed one per line
  kForcedStop = 3,   // a second signal ended the drain
  kDrainTimeout = 4  // the drain took longer than --drain_timeout; flows were broken off
};

}  // namespace gaugevalve::daemon
