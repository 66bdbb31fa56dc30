#include "datagram_run.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <map>
#include <set>

#include "gaugevalve/standins/echo_message.h"
#include "gaugevalve/tasks/task.h"

namespace gaugevalve::load {
namespace {

constexpr std::size_t kBatchSize = 64;
constexpr std::size_t kFlows = 1500;

// Answers every request, notes which flows came from which port and calls `on_enough` once it knows
// kFlows flows.
class Echo {
 public:
  Echo(event_base* loop, std::function<void()> on_enough)
      : on_enough_(std::move(on_enough)),
        socket_(tasks::UdpSocket::Bind(*base::SocketAddress::Parse("127.0.0.1:0"))),
        received_(kBatchSize),
        answers_(1),
        watch_(tasks::Watch::Readable(loop, socket_.Descriptor(), [this] { OnReadable(); })) {}

  base::SocketAddress Address() const { return socket_.LocalAddress(); }
  const std::map<std::uint16_t, std::set<std::uint64_t>>& FlowsByPort() const { return flows_; }

 private:
  void OnReadable() {
    const std::size_t count = received_.Receive(socket_.Descriptor());
    for (std::size_t index = 0; index < count; ++index) {
      const base::SocketAddress sender = received_.Sender(index);
      const auto request = standins::DecodeEchoRequest(received_.Datagram(index));
      const bool is_new = flows_[sender.port].insert(request->flow).second;
      const auto answer = standins::EncodeEchoAnswer({*request, "endpoint", "stock"});
      answers_.Append(sender, 0, answer);
      answers_.Flush(socket_.Descriptor());
      count_ += is_new ? 1 : 0;
      if (is_new && count_ == kFlows) {
        on_enough_();
      }
    }
  }

  std::function<void()> on_enough_;
  std::size_t count_ = 0;
  tasks::UdpSocket socket_;
  tasks::UdpReceiveBatch received_;
  tasks::UdpSendBatch answers_;
  std::map<std::uint16_t, std::set<std::uint64_t>> flows_;
  tasks::Watch watch_;
};

class DatagramRunTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatagramRunTest);
  CPPUNIT_TEST(NoTwoFlowsHaveTheSamePort);
  CPPUNIT_TEST(NoFlowHasAPortOfAnEarlierRun);
  CPPUNIT_TEST_SUITE_END();

  // Of 1,500 short flows on the system's choice of 28,000 ports some 40 would share one.
  void NoTwoFlowsHaveTheSamePort() {
    Run({});
    ExpectOneFlowAPort();
  }

  // An agent goes on with the flow that it knows under a port: a later run's flow there would reach
  // its endpoint, also a drained one.
  void NoFlowHasAPortOfAnEarlierRun() {
    const std::set<std::uint16_t> used = Run({});
    const std::set<std::uint16_t> all = Run(used);
    CPPUNIT_ASSERT_EQUAL(m_flows_opened, static_cast<std::uint64_t>(all.size()));
    ExpectOneFlowAPort();
  }

  // Runs a load until the echo has seen enough of its flows; returns all ports used by then.
  std::set<std::uint16_t> Run(const std::set<std::uint16_t>& used_ports) {
    const tasks::LoopPointer loop = tasks::MakeLoop();
    DatagramRun* run_to_end = nullptr;
    Echo echo(loop.get(), [&] { run_to_end->EndSoon(); });
    DatagramRunSettings settings;
    settings.services = {{"stock", echo.Address()}};
    settings.flows_per_second = 5000;
    settings.max_open_flows = 200;
    settings.duration = std::chrono::hours(1);  // ended by the echo
    settings.mean_flow_lifetime = std::chrono::milliseconds(1);
    settings.timing.request_interval = std::chrono::milliseconds(1);
    settings.timing.retry_after = std::chrono::seconds(5);
    settings.timing.attempts = 10;
    settings.seed = ++m_seed;
    settings.used_ports = used_ports;
    RunReport report;
    report.services["stock"] = {};
    DatagramRun run(loop.get(), settings, report);
    run_to_end = &run;
    run.Start();
    event_base_dispatch(loop.get());
    const ServiceReport& service = report.services["stock"];
    CPPUNIT_ASSERT(service.flows_opened >= kFlows);
    CPPUNIT_ASSERT_EQUAL(service.flows_opened, service.flows_finished);
    m_flows_opened += service.flows_opened;
    for (const auto& [port, flows] : echo.FlowsByPort()) {
      m_flows[port].insert(flows.begin(), flows.end());
    }
    return run.UsedPorts();
  }

  void ExpectOneFlowAPort() const {
    for (const auto& [port, flows] : m_flows) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, flows.size());
    }
  }

  std::uint64_t m_seed = 0;
  std::uint64_t m_flows_opened = 0;
  std::map<std::uint16_t, std::set<std::uint64_t>> m_flows;  // by source port, of all runs
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatagramRunTest);

}  // namespace
}  // namespace gaugevalve::load
