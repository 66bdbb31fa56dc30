/// @file
/// SIGHUP tells a process that its files have changed. Its default action ends the process.
#pragma once

namespace gaugevalve::tasks {

/// Ignores SIGHUP until the process watches for it; nothing is lost, since the files are read
/// later. To be called first in main(). A program that calls this also ignores the signal before
/// main(): from when the loader has mapped its libraries, before any of their initialisers runs.
/// Until then only what starts the program can prevent the end of the process, because a signal
/// that is ignored stays ignored through exec().
void IgnoreHangup();

}  // namespace gaugevalve::tasks
