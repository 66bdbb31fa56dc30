#include "gaugevalve/standins/program_loop.h"

#include <csignal>

namespace gaugevalve::standins {

ProgramLoop::ProgramLoop()
    : loop_(tasks::MakeLoop()),
      terminate_watch_(tasks::Watch::Signal(loop_.get(), SIGTERM, [this] { End(); })),
      interrupt_watch_(tasks::Watch::Signal(loop_.get(), SIGINT, [this] { End(); })) {}

}  // namespace gaugevalve::standins
