// A shared object that sends SIGHUP to the process that loads it, from an initialiser.
#include <csignal>

namespace {

[[gnu::constructor]] void RaiseHangup() { std::raise(SIGHUP); }

}  // namespace
