// The exit codes of the daemons, as documented for operators.
#pragma once

namespace gaugevalve::daemon {

enum ExitCode : int {
  kSuccess = 0,      // ended as asked, or --check found nothing
  kFailure = 1,      // could not start or go on, such as an address that is in use
  kFindings = 2,     // faults in the command line or the settings, printed one a line
  kForcedStop = 3,   // a second signal ended the drain
  kDrainTimeout = 4  // the drain took longer than --drain_timeout; flows were cut
};

}  // namespace gaugevalve::daemon
