// The stand-in's lag, and the machine list client against its pages.
#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>
#include <prometheus/registry.h>

#include <memory>
#include <optional>

#include "gaugevalve/machines/machine_list_client.h"
#include "gaugevalve/tasks/task.h"
#include "machine_list_pages.h"

namespace gaugevalve::standins {
namespace {

class MachineListStandinTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MachineListStandinTest);
  CPPUNIT_TEST(ShowsAChangeAfterTheLag);
  CPPUNIT_TEST(ClientFollowsTheList);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ShowsAChangeAfterTheLag() {
    base::ManualClock clock;
    LaggingMachineList list;
    list.SetFaults({.lag = std::chrono::seconds(10)});
    list.SetMachines({Named("a")}, clock.Now());
    clock.Advance(std::chrono::seconds(5));
    list.SetMachines({}, clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, list.Actual().version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, list.Shown(clock.Now()).version);
    clock.Advance(std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, list.Shown(clock.Now()).version);
    clock.Advance(std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, list.Shown(clock.Now()).version);
  }

  void ClientFollowsTheList() {
    const tasks::LoopPointer loop = tasks::MakeLoop();
    const base::SystemClock clock;
    LaggingMachineList list;
    list.SetMachines({Named("a")}, clock.Now());
    list.SetFaults({.unavailable = true});
    telemetry::AdminServer server(loop.get(), *base::SocketAddress::Parse("127.0.0.1:0"),
                                  std::make_shared<prometheus::Registry>());
    AddMachineListPages(server, list, clock);
    std::optional<machines::ParsedMachineList> latest;
    machines::MachineListClient client(
        loop.get(), server.BoundAddress(), clock,
        {std::chrono::milliseconds(20), std::chrono::seconds(20)}, /*seed=*/1,
        [&latest](const machines::ParsedMachineList& parsed) { latest = parsed; });
    while (client.ConsecutiveFailures() < 2) {
      event_base_loop(loop.get(), EVLOOP_ONCE);
    }
    CPPUNIT_ASSERT(!latest.has_value());
    list.SetFaults({});
    while (!latest) {
      event_base_loop(loop.get(), EVLOOP_ONCE);
    }
    CPPUNIT_ASSERT(latest->findings.empty());
    CPPUNIT_ASSERT(latest->list == list.Actual());
  }

 private:
  static machines::Machine Named(const std::string& name) {
    machines::Machine machine;
    machine.name = name;
    machine.region = "region";
    machine.zone = "zone";
    return machine;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MachineListStandinTest);

}  // namespace
}  // namespace gaugevalve::standins
