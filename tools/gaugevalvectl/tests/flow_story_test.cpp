#include "flow_story.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>

#include "command_runner.h"

namespace gaugevalve::ctl {
namespace {

constexpr char kClient[] = "192.0.2.7:40001";

// A line of a node whose steady clock began at `boot_ms` of the common time.
std::string Line(std::int64_t common_ms, std::int64_t boot_ms, const std::string& event,
                 std::int64_t step_ms = 0) {
  constexpr std::int64_t kPerSecond = 1000;
  const std::int64_t shown = common_ms + step_ms;
  std::string milliseconds = std::to_string(shown % kPerSecond);
  milliseconds.insert(0, 3 - milliseconds.size(), '0');
  std::string seconds = std::to_string(shown / kPerSecond);
  seconds.insert(0, 2 - seconds.size(), '0');
  return "time=2026-03-16T10:21:" + seconds + "." + milliseconds +
         "Z steady_us=" + std::to_string((common_ms - boot_ms) * kPerSecond) +
         " level=INFO event=" + event + "\n";
}

std::string Decided(const std::string& rest) {
  return std::string("packet_decided client=") + kClient + " destination=198.18.0.1:443 " + rest;
}

class FlowStoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowStoryTest);
  CPPUNIT_TEST(LinesOfAllNodesComeInOrder);
  CPPUNIT_TEST(AClockThatWasSetDoesNotDisturbTheOrder);
  CPPUNIT_TEST(EachLifeHasItsOwnSteadyClock);
  CPPUNIT_TEST(TheStateBehindADecisionIsTold);
  CPPUNIT_TEST(OtherFlowsAreLeftOut);
  CPPUNIT_TEST(TheConclusionSaysWhy);
  CPPUNIT_TEST(NodesMayStandBeforeTheLine);
  CPPUNIT_TEST(TheCommandReadsFiles);
  CPPUNIT_TEST(TheCommandRefusesWhatItCannotRead);
  CPPUNIT_TEST(AFlowThatIsNotThereIsSaid);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LinesOfAllNodesComeInOrder() {
    m_archive.Add("balancer-1", Line(1000, 0, Decided("verdict=forward reason=placed")) +
                                    Line(1030, 0, Decided("verdict=reset reason=all_refused")));
    m_archive.Add("agent-1", Line(1010, 900,
                                  std::string("opening_returned client=") + kClient +
                                      " reason=busy busy=7 capacity=7"));
    const FlowStory story = Tell();
    CPPUNIT_ASSERT_EQUAL(std::string("balancer-1 agent-1 balancer-1"), Nodes(story.course));
  }

  void AClockThatWasSetDoesNotDisturbTheOrder() {
    m_archive.Add("balancer-1", Line(1000, 0, "balancer_started") +
                                    Line(1100, 0, Decided("verdict=forward reason=placed"), 2400) +
                                    Line(5000, 0, "balancer_counters"));
    m_archive.Add("agent-1", Line(1200, 0, std::string("opening_delivered client=") + kClient));
    const FlowStory story = Tell();
    CPPUNIT_ASSERT_EQUAL(std::string("balancer-1 agent-1"), Nodes(story.course));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2400}, story.course.front().step_ms);
    CPPUNIT_ASSERT(FormatFlowStory(story).find("off by 2400 ms") != std::string::npos);
  }

  void EachLifeHasItsOwnSteadyClock() {
    m_archive.Add("balancer-1", Line(1000, 0, "balancer_started") +
                                    Line(1001, 0, Decided("verdict=forward reason=placed")) +
                                    Line(3000, 2900, "balancer_started") +
                                    Line(3100, 2900, Decided("verdict=forward reason=searched")));
    const FlowStory story = Tell();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, story.course.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2099}, story.course[1].common_ms - story.course[0].common_ms);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, story.course[1].step_ms);
  }

  void TheStateBehindADecisionIsTold() {
    m_archive.Add("balancer-1",
                  Line(100, 0, "balancer_started name=balancer-1") +
                      Line(200, 0, "configuration_in_force version=1") +
                      Line(300, 0, "configuration_in_force version=2") +
                      Line(400, 0, "agent_standing agent=10.0.0.1:7000 standing=admitting") +
                      Line(410, 0, "agent_standing agent=10.0.0.2:7000 standing=silent") +
                      Line(500, 0, Decided("verdict=forward reason=placed agent=10.0.0.1:7000")));
    const std::string text = FormatFlowStory(Tell());
    CPPUNIT_ASSERT(text.find("version=2") != std::string::npos);
    CPPUNIT_ASSERT(text.find("version=1") == std::string::npos);
    CPPUNIT_ASSERT(text.find("standing=admitting") != std::string::npos);
    CPPUNIT_ASSERT(text.find("10.0.0.2") == std::string::npos);
  }

  void OtherFlowsAreLeftOut() {
    m_archive.Add("balancer-1",
                  Line(1000, 0, "packet_decided client=192.0.2.7:40002 verdict=drop") +
                      Line(1001, 0, Decided("verdict=forward reason=placed")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Tell().course.size());
  }

  void TheConclusionSaysWhy() {
    m_archive.Add("balancer-1", Line(1000, 0, Decided("verdict=reset reason=held_by_none")));
    CPPUNIT_ASSERT_EQUAL(
        std::string("last seen on balancer-1: reset, no endpoint holds it any more"),
        Tell().conclusion);
  }

  void NodesMayStandBeforeTheLine() {
    m_archive.Add("all", "  34.0176 edge-1 " + Line(1000, 0, Decided("verdict=drop")) +
                             "  34.1 edge-2 " + Line(1100, 0, Decided("verdict=drop")) + "words\n");
    CPPUNIT_ASSERT_EQUAL(std::string("edge-1 edge-2"), Nodes(Tell().course));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_archive.SkippedCount());
  }

  void TheCommandReadsFiles() {
    const std::string file = "flow_story_test.log";
    std::ofstream(file) << Line(1000, 0, Decided("verdict=reset reason=no_route"));
    const CommandResult result = RunWith(TestOptions(), m_store, {"explain-log", kClient, file});
    std::remove(file.c_str());
    CPPUNIT_ASSERT(result.exit_code == ExitCode::kOk);
    CPPUNIT_ASSERT(result.out.find("flow_story_test  packet_decided") != std::string::npos);
    CPPUNIT_ASSERT(result.out.find("has no such address") != std::string::npos);
  }

  void TheCommandRefusesWhatItCannotRead() {
    const CommandResult result =
        RunWith(TestOptions(), m_store, {"explain-log", "nobody", "missing-file.log"});
    CPPUNIT_ASSERT(result.exit_code == ExitCode::kFindings);
    CPPUNIT_ASSERT(result.err.find("'nobody' is not an IP address") != std::string::npos);
    CPPUNIT_ASSERT(result.err.find("missing-file.log") != std::string::npos);
  }

  void AFlowThatIsNotThereIsSaid() {
    CPPUNIT_ASSERT(FormatFlowStory(Tell()).find("no line is about this flow") == 0);
  }

 private:
  FlowStory Tell() {
    m_archive.Order();
    return TellFlowStory(m_archive, kClient);
  }

  static std::string Nodes(const std::vector<NodeLine>& lines) {
    std::string text;
    for (const NodeLine& entry : lines) {
      text += (text.empty() ? "" : " ") + entry.node;
    }
    return text;
  }

  class UnusedStore final : public SettingsStore {
   public:
    ReadReply Read(const std::vector<KeyRange>& /*ranges*/, base::Duration /*timeout*/) override {
      return {StoreOutcome::kNotApplied, "", {}};
    }
    RunReply Run(const settings::StoreTransaction& /*transaction*/,
                 base::Duration /*timeout*/) override {
      return {StoreOutcome::kNotApplied, "", {}};
    }
  };

  LogArchive m_archive;
  UnusedStore m_store;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowStoryTest);

}  // namespace
}  // namespace gaugevalve::ctl
