// The editing commands against the stand-in store.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>

#include "command_runner.h"
#include "etcd_settings_store.h"
#include "gaugevalve/settings/capabilities.h"
#include "gaugevalve/settings/store_layout.h"
#include "loop_thread.h"
#include "store_server.h"

namespace gaugevalve::ctl {
namespace {

constexpr const char* kTree = R"(version: 1
services:
  orders:
    kind: datagram
    virtual_address: 192.0.2.10:443
    regions: {north: {zones: {east: {slots: 3, endpoints: {orders-1: {}, orders-2: {}}}}}}
)";

// Passes everything on, and runs a step of the test's before the next transaction.
class InterruptingStore final : public SettingsStore {
 public:
  explicit InterruptingStore(SettingsStore& store) : store_(store) {}

  ReadReply Read(const std::vector<KeyRange>& ranges, base::Duration timeout) override {
    return store_.Read(ranges, timeout);
  }

  RunReply Run(const settings::StoreTransaction& transaction, base::Duration timeout) override {
    if (before_next_run) {
      const std::function<void()> step = std::move(before_next_run);
      before_next_run = nullptr;
      step();
    }
    return store_.Run(transaction, timeout);
  }

  std::function<void()> before_next_run;

 private:
  SettingsStore& store_;
};

class TreeCommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TreeCommandsTest);
  CPPUNIT_TEST(EditsAndReads);
  CPPUNIT_TEST(ShowsValuesInForceWithTheirOrigin);
  CPPUNIT_TEST(LostRaceShowsTheOthersChange);
  CPPUNIT_TEST(LostAnswerIsLookedUp);
  CPPUNIT_TEST(StoreAwayIsSaidAndNothingChanged);
  CPPUNIT_TEST(LostAnswerAndStoreAwayIsNotGuessed);
  CPPUNIT_TEST(UndoTakesBackOneEdit);
  CPPUNIT_TEST(DryRunChangesNothing);
  CPPUNIT_TEST(DrainsAndUndrains);
  CPPUNIT_TEST(RefusesWhatABalancerCannotApply);
  CPPUNIT_TEST(FindingsAreReportedTogether);
  CPPUNIT_TEST(WrongCommandLinesAreSaid);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loop_.Run([this] {
      server_ = std::make_unique<standins::StoreServer>(
          loop_.Base(), *base::SocketAddress::Parse("127.0.0.1:0"), clock_);
    });
    options_ = TestOptions();
    options_.store_endpoints = {server_->BoundAddress()};
    store_ = std::make_unique<EtcdSettingsStore>(options_.store_endpoints, kSeed);
    directory_ = MakeDirectory();
    const std::string file = WriteFile("tree.yaml", kTree);
    const CommandResult applied = Run({"tree", "apply", file});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(applied.err, 0, static_cast<int>(applied.exit_code));
  }

  void tearDown() override {
    store_.reset();
    loop_.Run([this] { server_.reset(); });
    std::filesystem::remove_all(directory_);
  }

  void EditsAndReads() {
    ExpectExit(ExitCode::kOk, Run({"tree", "set", "services.orders.weight", "7"}));
    CPPUNIT_ASSERT_EQUAL(std::string("7\n"), Run({"tree", "get", "services.orders.weight"}).out);
    ExpectExit(ExitCode::kOk, Run({"tree", "unset", "services.orders.weight"}));
    const std::string exported = Run({"tree", "export"}).out;
    const std::string file = WriteFile("exported.yaml", exported);
    CPPUNIT_ASSERT_EQUAL(std::string(), Run({"tree", "diff", file}).out);
    ExpectExit(ExitCode::kOk, Run({"check", file}));
    const std::string history = Run({"tree", "history"}).out;
    CPPUNIT_ASSERT(history.starts_with("revision 3  "));
    CPPUNIT_ASSERT(history.find("unset services.orders.weight (was 7)") != std::string::npos);
    CPPUNIT_ASSERT(history.find("added service services.orders") != std::string::npos);
  }

  void ShowsValuesInForceWithTheirOrigin() {
    options_.effective = true;
    const std::string path = "services.orders.regions.north.zones.east.endpoints.orders-1";
    const std::string text = Run({"tree", "get", path}).out;
    CPPUNIT_ASSERT(text.find("slots: 3  (from zone east)") != std::string::npos);
    CPPUNIT_ASSERT(text.find("weight: 100  (built-in default)") != std::string::npos);
    CPPUNIT_ASSERT(text.find("orders-2") == std::string::npos);
  }

  void LostRaceShowsTheOthersChange() {
    InterruptingStore interrupting(*store_);
    interrupting.before_next_run = [this] {
      EtcdSettingsStore other(options_.store_endpoints, kSeed);
      Options options = options_;
      options.author = "ben";
      options.comment = "more room";
      RunWith(options, other, {"tree", "set", "slots", "9"});
    };
    const CommandResult lost = RunWith(options_, interrupting, {"tree", "set", "weight", "7"});
    ExpectExit(ExitCode::kLostRace, lost);
    CPPUNIT_ASSERT(lost.out.find("Revision 2 by ben (more room):\n  set slots to 9\n") !=
                   std::string::npos);
    ExpectExit(ExitCode::kFindings, Run({"tree", "get", "weight"}));
  }

  void LostAnswerIsLookedUp() {
    SetFaults({.lost_answers = 1});
    options_.format = OutputFormat::kJson;
    const CommandResult result = Run({"tree", "set", "slots", "9"});
    ExpectExit(ExitCode::kOk, result);
    const nlohmann::json json = nlohmann::json::parse(result.out);
    CPPUNIT_ASSERT_EQUAL(std::string("committed"), json["status"].get<std::string>());
    CPPUNIT_ASSERT(json["was_looked_up"].get<bool>());
    options_.format = OutputFormat::kText;
    CPPUNIT_ASSERT(Run({"tree", "history"}).out.starts_with("revision 2 "));
  }

  void StoreAwayIsSaidAndNothingChanged() {
    SetFaults({.outage = standins::Outage::kUnavailable});
    options_.timeout = std::chrono::milliseconds(300);
    const CommandResult result = Run({"tree", "set", "slots", "9"});
    ExpectExit(ExitCode::kStoreAway, result);
    CPPUNIT_ASSERT(result.err.starts_with("the store can't be read: "));
    CPPUNIT_ASSERT(result.err.ends_with("; nothing was changed\n"));
    CPPUNIT_ASSERT_EQUAL(result.err.find("othing was changed"),
                         result.err.rfind("othing was changed"));
  }

  // The answer is lost after the write took effect, and the store goes away before it can be asked.
  void LostAnswerAndStoreAwayIsNotGuessed() {
    options_.timeout = std::chrono::milliseconds(600);
    InterruptingStore interrupting(*store_);
    interrupting.before_next_run = [this] { SetFaults({.outage = standins::Outage::kHang}); };
    const CommandResult result = RunWith(options_, interrupting, {"tree", "set", "slots", "9"});
    ExpectExit(ExitCode::kOutcomeUnknown, result);
    CPPUNIT_ASSERT(result.out.find("can only be revision 2") != std::string::npos);
  }

  void UndoTakesBackOneEdit() {
    ExpectExit(ExitCode::kOk, Run({"tree", "set", "slots", "9"}));
    ExpectExit(ExitCode::kOk, Run({"tree", "set", "weight", "7"}));
    ExpectExit(ExitCode::kOk, Run({"tree", "undo", "2"}));
    ExpectExit(ExitCode::kFindings, Run({"tree", "get", "slots"}));
    CPPUNIT_ASSERT_EQUAL(std::string("7\n"), Run({"tree", "get", "weight"}).out);
    const CommandResult again = Run({"tree", "undo", "2"});
    ExpectExit(ExitCode::kFindings, again);
    CPPUNIT_ASSERT(again.err.find("it was changed again since") != std::string::npos);
    ExpectExit(ExitCode::kFindings, Run({"tree", "undo", "77"}));
  }

  void DryRunChangesNothing() {
    options_.dry_run = true;
    const CommandResult result = Run({"tree", "set", "slots", "9"});
    ExpectExit(ExitCode::kOk, result);
    CPPUNIT_ASSERT_EQUAL(std::string("Would change:\n  set slots to 9\n"), result.out);
    ExpectExit(ExitCode::kFindings, Run({"tree", "get", "slots"}));
  }

  void DrainsAndUndrains() {
    ExpectExit(ExitCode::kOk, Run({"drain", "orders-1"}));
    ExpectExit(ExitCode::kOk, Run({"drain", "east"}));
    CPPUNIT_ASSERT_EQUAL(std::string("north/east\n"), Run({"tree", "get", "draining_zones"}).out);
    ExpectExit(ExitCode::kOk, Run({"undrain", "north/east"}));
    ExpectExit(ExitCode::kOk, Run({"undrain", "orders/orders-1"}));
    CPPUNIT_ASSERT_EQUAL(std::string(), Run({"tree", "diff", directory_ + "/tree.yaml"}).out);
  }

  void RefusesWhatABalancerCannotApply() {
    settings::StoreTransaction transaction;
    transaction.writes = {
        {std::string(settings::kCapabilitiesKey), settings::FormatCapabilities({0})}};
    store_->Run(transaction, options_.timeout);
    const CommandResult result = Run({"tree", "set", "slots", "9"});
    ExpectExit(ExitCode::kFindings, result);
    CPPUNIT_ASSERT(result.err.find("understands only 0") != std::string::npos);
  }

  void FindingsAreReportedTogether() {
    const std::string file =
        WriteFile("bad.yaml", "version: 1\nslotz: 2\nservices: {a: {kind: tcp}}\n");
    const CommandResult result = Run({"check", file});
    ExpectExit(ExitCode::kFindings, result);
    CPPUNIT_ASSERT_EQUAL(file + ":2:8: slotz: unknown key 'slotz'; did you mean 'slots'?\n" + file +
                             ":3:22: services.a.kind: 'tcp' is none of: datagram http3\n" + file +
                             ":3:15: services.a.virtual_address: is missing\n",
                         result.err);
    ExpectExit(ExitCode::kFindings, Run({"check", directory_ + "/nowhere.yaml"}));
  }

  void WrongCommandLinesAreSaid() {
    ExpectExit(ExitCode::kUsage, Run({}));
    ExpectExit(ExitCode::kUsage, Run({"tree"}));
    ExpectExit(ExitCode::kUsage, Run({"tree", "set", "slots"}));
    options_.store_endpoints.clear();
    ExpectExit(ExitCode::kFindings, Run({"tree", "export"}));
    ExpectExit(ExitCode::kOk, Run({"reference"}));
  }

 private:
  static constexpr std::uint64_t kSeed = 7;

  static std::string MakeDirectory() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "gaugevalvectl.XXXXXX").string();
    CPPUNIT_ASSERT(mkdtemp(pattern.data()) != nullptr);
    return pattern;
  }

  static void ExpectExit(ExitCode expected, const CommandResult& result) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.out + result.err, static_cast<int>(expected),
                                 static_cast<int>(result.exit_code));
  }

  CommandResult Run(const std::vector<std::string>& words) {
    return RunWith(options_, *store_, words);
  }

  std::string WriteFile(const std::string& name, const std::string& content) const {
    std::string path = directory_ + "/" + name;
    std::ofstream(path) << content;
    return path;
  }

  void SetFaults(const standins::FaultSettings& faults) {
    loop_.Run([&] { server_->SetFaults(faults); });
  }

  base::SystemClock clock_;
  LoopThread loop_;
  std::unique_ptr<standins::StoreServer> server_;  // used on the loop's thread
  Options options_;
  std::unique_ptr<EtcdSettingsStore> store_;
  std::string directory_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TreeCommandsTest);

}  // namespace
}  // namespace gaugevalve::ctl
