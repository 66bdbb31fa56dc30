#include "gaugevalve/tasks/task.h"

#include <pthread.h>

#include <csignal>
#include <stdexcept>
#include <utility>

namespace gaugevalve::tasks {
namespace {

constexpr std::size_t kThreadNameLength = 15;  // the system's limit

// Signals are the main thread's: a task's thread would otherwise be interrupted by them.
void BlockAllSignals() {
  sigset_t all;
  sigfillset(&all);
  pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

}  // namespace

LoopPointer MakeLoop() {
  LoopPointer loop(event_base_new());
  if (!loop) {
    throw std::runtime_error("libevent can't make an event loop");
  }
  return loop;
}

Task::Task(std::string name)
    : name_(std::move(name)),
      loop_(MakeLoop()),
      stop_watch_(Watch::Readable(loop_.get(), stop_event_.Descriptor(),
                                  [this] { event_base_loopbreak(loop_.get()); })) {}

Task::~Task() {
  Stop();
  Join();
}

void Task::Start() {
  thread_ = std::thread([this] { Run(); });
}

clockid_t Task::ProcessorClock() {
  clockid_t clock{};
  if (pthread_getcpuclockid(thread_.native_handle(), &clock) != 0) {
    throw std::runtime_error("the task has no thread");
  }
  return clock;
}

void Task::Stop() { stop_event_.Signal(); }

void Task::Join() {
  if (thread_.joinable()) {
    thread_.join();
  }
}

void Task::Run() {
  BlockAllSignals();
  pthread_setname_np(pthread_self(), name_.substr(0, kThreadNameLength).c_str());
  event_base_dispatch(loop_.get());
}

}  // namespace gaugevalve::tasks
