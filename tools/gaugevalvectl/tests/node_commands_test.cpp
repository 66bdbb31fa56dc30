// The commands that ask nodes, against admin ports that answer as nodes do.
#include "node_commands.h"

#include <cppunit/extensions/HelperMacros.h>
#include <prometheus/registry.h>

#include <memory>
#include <nlohmann/json.hpp>

#include "command_runner.h"
#include "gaugevalve/base/finding.h"
#include "gaugevalve/telemetry/admin_server.h"
#include "loop_thread.h"

namespace gaugevalve::ctl {
namespace {

// Fails a test that asks it.
class UnusedStore final : public SettingsStore {
 public:
  ReadReply Read(const std::vector<KeyRange>& /*ranges*/, base::Duration /*timeout*/) override {
    CPPUNIT_FAIL("the store was read");
    return {};
  }
  RunReply Run(const settings::StoreTransaction& /*transaction*/,
               base::Duration /*timeout*/) override {
    CPPUNIT_FAIL("the store was written");
    return {};
  }
};

nlohmann::json StatusOf(const std::string& name, std::uint64_t revision) {
  return {{"name", name},
          {"node", base::MakeNodeId(name).value()},
          {"role", "balancer"},
          {"region", "north"},
          {"zone", "east"},
          {"settings", {{"revision_in_force", revision}, {"newest_revision_known", 5}}},
          {"store", {{"lease", name == "b2" ? "held" : ""}}},
          {"members", nlohmann::json::array()}};
}

class NodeCommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeCommandsTest);
  CPPUNIT_TEST(FindsTheOtherNodesAndSaysWhoIsBehind);
  CPPUNIT_TEST(AllInForceIsOk);
  CPPUNIT_TEST(SilentNodesAreNamed);
  CPPUNIT_TEST(AMalformedStatusIsSaid);
  CPPUNIT_TEST(ExplainPassesTheFlowOn);
  CPPUNIT_TEST(BalancersThatWereNotAskedAreNamed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    first_ = StartNode();
    second_ = StartNode();
    options_ = TestOptions();
    options_.nodes = {first_->BoundAddress()};
  }

  void tearDown() override {
    loop_.Run([this] {
      first_.reset();
      second_.reset();
    });
  }

  void FindsTheOtherNodesAndSaysWhoIsBehind() {
    AnswerStatus(*first_, WithMember(StatusOf("b1", 5), "b2", second_->BoundAddress().ToString()));
    AnswerStatus(*second_, StatusOf("b2", 4));
    const CommandResult result = Run({"status"});
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::kNodesBehind),
                         static_cast<int>(result.exit_code));
    CPPUNIT_ASSERT(result.out.starts_with("newest revision 5\n"));
    CPPUNIT_ASSERT(result.out.ends_with("behind: b2\n"));
  }

  void AllInForceIsOk() {
    AnswerStatus(*first_, WithMember(StatusOf("b1", 5), "b2", second_->BoundAddress().ToString()));
    AnswerStatus(*second_, StatusOf("b2", 5));
    options_.format = OutputFormat::kJson;
    const CommandResult result = Run({"status"});
    CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(result.exit_code));
    const nlohmann::json json = nlohmann::json::parse(result.out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, json["nodes"].size());
    CPPUNIT_ASSERT(json["behind"].empty());
    CPPUNIT_ASSERT_EQUAL(nlohmann::json{"b2"}, json["lease_holders"]);
  }

  void SilentNodesAreNamed() {
    const std::string gone = second_->BoundAddress().ToString();
    AnswerStatus(*first_, WithMember(StatusOf("b1", 5), "b2", gone));
    loop_.Run([this] { second_.reset(); });
    const CommandResult result = Run({"status"});
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::kNodesBehind),
                         static_cast<int>(result.exit_code));
    CPPUNIT_ASSERT(result.out.find("192.0.2.9:1             does not answer\n") !=
                   std::string::npos);
    options_.format = OutputFormat::kJson;
    const nlohmann::json silent = nlohmann::json::parse(Run({"status"}).out)["silent"];
    CPPUNIT_ASSERT_EQUAL(nlohmann::json("does not answer"), silent.at(0)["reason"]);
    loop_.Run([this] { first_.reset(); });
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::kNodeUnreachable),
                         static_cast<int>(Run({"status"}).exit_code));
  }

  void AMalformedStatusIsSaid() {
    AnswerStatus(*first_, {{"name", 7}});
    const CommandResult result = Run({"status"});
    CPPUNIT_ASSERT(result.out.find("name: must be there and be text") != std::string::npos);
    CPPUNIT_ASSERT_THROW(ParseNodeStatus("[1", "x"), base::FindingsError);
  }

  void ExplainPassesTheFlowOn() {
    loop_.Run([this] {
      first_->Handle("/explain", [](const telemetry::AdminRequest& request) {
        const nlohmann::json json{{"service", request.Parameter("service")},
                                  {"source", request.Parameter("source")}};
        return telemetry::AdminResponse{200, "application/json", json.dump()};
      });
    });
    const CommandResult result = Run({"explain", "orders", "192.0.2.1:7"});
    CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(result.exit_code));
    CPPUNIT_ASSERT(result.out.find(R"({"service":"orders","source":"192.0.2.1:7"})") !=
                   std::string::npos);
    options_.nodes = {second_->BoundAddress()};
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::kFindings),
                         static_cast<int>(Run({"explain", "orders", "x"}).exit_code));
    loop_.Run([this] { second_.reset(); });
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::kNodeUnreachable),
                         static_cast<int>(Run({"explain", "orders", "x"}).exit_code));
  }

  // A balancer that can't be asked may still have an older revision in force.
  void BalancersThatWereNotAskedAreNamed() {
    AnswerStatus(*first_, WithMember(StatusOf("b1", 5), "b2", ""));
    const CommandResult result = Run({"status"});
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::kNodesBehind),
                         static_cast<int>(result.exit_code));
    CPPUNIT_ASSERT(
        result.out.ends_with("not asked: the balancer with control address 192.0.2.9:1\n"));
  }

 private:
  std::unique_ptr<telemetry::AdminServer> StartNode() {
    std::unique_ptr<telemetry::AdminServer> server;
    loop_.Run([&] {
      server = std::make_unique<telemetry::AdminServer>(loop_.Base(),
                                                        *base::SocketAddress::Parse("127.0.0.1:0"),
                                                        std::make_shared<prometheus::Registry>());
    });
    return server;
  }

  static nlohmann::json WithMember(nlohmann::json status, const std::string& node,
                                   const std::string& admin_address) {
    status["members"].push_back({{"node", base::MakeNodeId(node).value()},
                                 {"role", "balancer"},
                                 {"zone", "east"},
                                 {"state", "alive"},
                                 {"control_address", "192.0.2.9:1"},
                                 {"admin_address", admin_address}});
    return status;
  }

  void AnswerStatus(telemetry::AdminServer& server, const nlohmann::json& status) {
    loop_.Run([&] {
      server.Handle("/status", [status](const telemetry::AdminRequest& /*request*/) {
        return telemetry::AdminResponse{200, "application/json", status.dump()};
      });
    });
  }

  CommandResult Run(const std::vector<std::string>& words) {
    return RunWith(options_, store_, words);
  }

  LoopThread loop_;
  std::unique_ptr<telemetry::AdminServer> first_;  // used on the loop's thread
  std::unique_ptr<telemetry::AdminServer> second_;
  Options options_;
  UnusedStore store_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeCommandsTest);

}  // namespace
}  // namespace gaugevalve::ctl
