#include "gaugevalve/tasks/task.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>
#include <vector>

#include "gaugevalve/tasks/inbox.h"
#include "gaugevalve/tasks/timer.h"

namespace gaugevalve::tasks {
namespace {

class TaskTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TaskTest);
  CPPUNIT_TEST(MessagesAreHandledInTheTasksThread);
  CPPUNIT_TEST(AnInboxThatIsNeverEmptyLetsTimersRun);
  CPPUNIT_TEST(TimerCallsUntilCancelled);
  CPPUNIT_TEST(StopBeforeStartEndsTheLoopAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MessagesAreHandledInTheTasksThread() {
    constexpr int kMessages = 1000;
    Task task("receiver");
    std::vector<int> received;
    std::thread::id handler_thread;
    Inbox<int> inbox(task.Loop(), 16, [&](int message) {
      received.push_back(message);
      handler_thread = std::this_thread::get_id();
      if (received.size() == kMessages) {
        task.Stop();
      }
    });
    task.Start();
    for (int message = 0; message < kMessages; ++message) {
      while (!inbox.TrySend(int{message})) {
        std::this_thread::yield();
      }
    }
    task.Join();
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMessages}, received.size());
    CPPUNIT_ASSERT_EQUAL(kMessages - 1, received.back());
    CPPUNIT_ASSERT(handler_thread != std::this_thread::get_id());
  }

  // Guards against agents that fall silent because other agents send faster than they handle
  // (executor-lost): heartbeats are sent by a timer.
  void AnInboxThatIsNeverEmptyLetsTimersRun() {
    constexpr int kEnough = 1'000'000;
    const LoopPointer loop = MakeLoop();
    int last = 0;
    bool has_run = false;
    Inbox<int>* self = nullptr;
    Inbox<int> inbox(loop.get(), 16, [&](int message) {
      last = message;
      if (!has_run && message < kEnough) {
        CPPUNIT_ASSERT(self->TrySend(message + 1));
      }
    });
    self = &inbox;
    Timer timer(loop.get(), [&] { has_run = true; });
    timer.StartOnce(base::Duration(0));
    CPPUNIT_ASSERT(inbox.TrySend(1));
    while (!has_run) {
      event_base_loop(loop.get(), EVLOOP_ONCE);
    }
    CPPUNIT_ASSERT(last < kEnough);
  }

  void TimerCallsUntilCancelled() {
    const LoopPointer loop = MakeLoop();
    int calls = 0;
    Timer* periodic_pointer = nullptr;
    Timer periodic(loop.get(), [&] {
      if (++calls == 3) {
        periodic_pointer->Cancel();
      }
    });
    periodic_pointer = &periodic;
    periodic.StartPeriodic(base::Duration(1));
    event_base_dispatch(loop.get());  // returns when no event is left
    CPPUNIT_ASSERT_EQUAL(3, calls);
  }

  void StopBeforeStartEndsTheLoopAtOnce() {
    Task task("stopped");
    task.Stop();
    task.Start();
    task.Join();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskTest);

}  // namespace
}  // namespace gaugevalve::tasks
