// How the tool ends; documented in docs/operators/changing-settings.md.
#pragma once

namespace gaugevalve::ctl {

enum class ExitCode : int {
  kOk = 0,
  kUsage = 1,            // the command line is wrong, or an unexpected error
  kFindings = 2,         // the input or the edit has findings; nothing was changed
  kLostRace = 3,         // another edit came first; nothing was changed
  kStoreAway = 4,        // the store can't be reached or refused; nothing was changed
  kOutcomeUnknown = 5,   // an answer was lost and the outcome could not be found out in time
  kNodesBehind = 6,      // a node lags behind the newest revision or doesn't answer
  kNodeUnreachable = 7,  // no node answered
  kNothingFound = 8,     // the logs say nothing of the flow
};

}  // namespace gaugevalve::ctl
