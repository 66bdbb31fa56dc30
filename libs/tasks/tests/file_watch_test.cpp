#include "gaugevalve/tasks/file_watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <fstream>
#include <optional>
#include <string>

#include "gaugevalve/tasks/task.h"

namespace gaugevalve::tasks {
namespace {

constexpr char kPath[] = "file_watch_test.tmp";
constexpr base::Duration kPeriod = std::chrono::milliseconds(2);

class FileWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FileWatchTest);
  CPPUNIT_TEST(AWrittenFileIsAChange);
  CPPUNIT_TEST(AReplacedFileIsAChange);
  CPPUNIT_TEST(AFileThatAppearsIsAChange);
  CPPUNIT_TEST(AnUntouchedOrVanishedFileIsNone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Write(kPath, "first"); }
  void tearDown() override { std::remove(kPath); }

  void AWrittenFileIsAChange() {
    Watch();
    Write(kPath, "second, and longer");
    RunUntilChange();
    CPPUNIT_ASSERT_EQUAL(1, m_changes);
  }

  void AReplacedFileIsAChange() {
    Watch();
    const std::string other = std::string(kPath) + ".new";
    Write(other, "other");  // as long as the first
    CPPUNIT_ASSERT_EQUAL(0, std::rename(other.c_str(), kPath));
    RunUntilChange();
    CPPUNIT_ASSERT_EQUAL(1, m_changes);
  }

  void AFileThatAppearsIsAChange() {
    std::remove(kPath);
    Watch();
    Write(kPath, "late");
    RunUntilChange();
    CPPUNIT_ASSERT_EQUAL(1, m_changes);
  }

  void AnUntouchedOrVanishedFileIsNone() {
    Watch();
    RunLooks();
    std::remove(kPath);
    RunLooks();
    CPPUNIT_ASSERT_EQUAL(0, m_changes);
  }

 private:
  static void Write(const std::string& path, const char* text) { std::ofstream(path) << text; }

  void Watch() {
    m_watch.emplace(m_loop.get(), kPath, kPeriod, [this] {
      ++m_changes;
      event_base_loopbreak(m_loop.get());
    });
  }

  // Ends with the first change; a watch that misses it lets the run hang until the test's limit.
  void RunUntilChange() { event_base_dispatch(m_loop.get()); }

  // Lets the watch look at least twice: a timer that was made later and takes longer ends the run.
  void RunLooks() {
    Timer end(m_loop.get(), [this] { event_base_loopbreak(m_loop.get()); });
    end.StartOnce(kPeriod * 3);
    event_base_dispatch(m_loop.get());
  }

  LoopPointer m_loop = MakeLoop();
  std::optional<FileWatch> m_watch;
  int m_changes = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FileWatchTest);

}  // namespace
}  // namespace gaugevalve::tasks
