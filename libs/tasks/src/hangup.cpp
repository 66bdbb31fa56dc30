#include "gaugevalve/tasks/hangup.h"

#include <csignal>

namespace gaugevalve::tasks {
namespace {

void IgnoreHangupBeforeInitialisers(int /*argc*/, char** /*argv*/, char** /*environment*/) {
  IgnoreHangup();
}

// The loader calls the functions of this section of a program before the initialisers of all shared
// objects and of the program itself.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const preinit_entry)(int, char**, char**) = IgnoreHangupBeforeInitialisers;

}  // namespace

void IgnoreHangup() { std::signal(SIGHUP, SIG_IGN); }

}  // namespace gaugevalve::tasks
