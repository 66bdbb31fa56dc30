// Tests of the byte budget on its own, and of a core that stays within it while other nodes send
// more requests than it can answer.
#include "byte_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gaugevalve/membership/membership.h"
#include "gaugevalve/membership/membership.pb.h"

namespace gaugevalve::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMembers = 2000;
constexpr std::size_t kBudget = 5000;  // a node's limit for control traffic in one second
constexpr std::size_t kEnvelopeBytes =
    43;  // with an IPv4 address and nng's length prefix of 8 bytes

base::TimePoint At(int millisecond) { return base::TimePoint(milliseconds(millisecond)); }

class ByteBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ByteBudgetTest);
  CPPUNIT_TEST(HoldsInEveryWindow);
  CPPUNIT_TEST(KeepsTheReserveForProbes);
  CPPUNIT_TEST(ProbesWithinTheReserveLeaveRepairItsShare);
  CPPUNIT_TEST(CoreStaysWithinBudgetUnderLoad);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HoldsInEveryWindow() {
    ByteBudget budget(1000, 0);
    budget.RecordSent(600, SendPriority::kRepair, At(0));
    budget.RecordSent(400, SendPriority::kProbe, At(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.AvailableBytes(SendPriority::kProbe, At(1000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{600}, budget.AvailableBytes(SendPriority::kProbe, At(1001)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{600}, budget.AvailableBytes(SendPriority::kRepair, At(1001)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, budget.AvailableBytes(SendPriority::kProbe, At(1901)));
  }

  void KeepsTheReserveForProbes() {
    ByteBudget budget(1000, 300);
    budget.RecordSent(700, SendPriority::kRepair, At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.AvailableBytes(SendPriority::kRepair, At(0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{300}, budget.AvailableBytes(SendPriority::kProbe, At(0)));
    budget.RecordSent(500, SendPriority::kUnlimited, At(0));  // exceeds the budget
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.AvailableBytes(SendPriority::kProbe, At(0)));
  }

  // Guards against probes consuming the share that repair needs for a digest offer, after which
  // views stayed wrong. Found by the proof.
  void ProbesWithinTheReserveLeaveRepairItsShare() {
    ByteBudget budget(1000, 300);
    budget.RecordSent(300, SendPriority::kProbe, At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{700}, budget.AvailableBytes(SendPriority::kRepair, At(0)));
  }

  void CoreStaysWithinBudgetUnderLoad() {
    Membership core(base::NodeId(1), MakeMetadata(), {}, 1);
    core.Preload(MakeMembers());
    MembershipActions actions;
    core.Start(At(0), actions);
    std::deque<std::pair<base::TimePoint, std::size_t>> window;
    std::size_t sum = 0;
    std::size_t largest = 0;
    constexpr int kStepMilliseconds = 20;
    constexpr int kEndMilliseconds = 10'000;
    for (int now = 0; now < kEndMilliseconds; now += kStepMilliseconds) {
      SendAllRequestKinds(core, now, actions);
      core.OnTick(At(now), actions);
      for (const auto& message : actions.messages) {
        window.emplace_back(At(now), message.payload.size() + kEnvelopeBytes);
        sum += window.back().second;
      }
      actions = {};
      while (At(now) - window.front().first >= seconds(1)) {
        sum -= window.front().second;
        window.pop_front();
      }
      largest = std::max(largest, sum);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(largest) + " bytes in a second", largest <= kBudget);
    // The core must not meet the limit by sending nothing: pages and probes continue.
    CPPUNIT_ASSERT(largest > kBudget / 2);
    CPPUNIT_ASSERT(core.Counters().pages_served >= 10);  // one per second
    CPPUNIT_ASSERT(core.Counters().pages_refused > 10);
    CPPUNIT_ASSERT(core.Counters().probes_started >= 20);
  }

 private:
  static MemberMetadata MakeMetadata() {
    MemberMetadata metadata;
    metadata.region = "north";
    metadata.zone = "north-1";
    metadata.endpoint_name = "endpoint";
    metadata.control_address = base::SocketAddress::Ipv4(0x0a000001, 7000);
    metadata.data_address = metadata.control_address;
    metadata.process_incarnation = base::Incarnation(1000);
    return metadata;
  }

  static std::vector<Member> MakeMembers() {
    const auto metadata = std::make_shared<MemberMetadata>(MakeMetadata());
    std::vector<Member> members;
    for (std::size_t index = 0; index < kMembers; ++index) {
      members.push_back({base::MakeNodeId("node-" + std::to_string(index)),
                         metadata->process_incarnation, metadata->process_incarnation,
                         MemberState::kAlive, At(0), metadata});
    }
    return members;
  }

  // Sends a page request, a record request and a digest offer, all from one member.
  static void SendAllRequestKinds(Membership& core, int now, MembershipActions& actions) {
    const auto members = MakeMembers();
    const Member& asking = members.at(static_cast<std::size_t>(now) % kMembers);
    const transport::SenderIdentity sender{
        asking.node, asking.incarnation, asking.metadata->control_address, {}};
    proto::MembershipMessage page;
    page.mutable_state_request()->set_after(0);
    proto::MembershipMessage records;
    for (std::size_t index = 0; index < 64; ++index) {
      records.mutable_record_request()->add_nodes(members.at(index).node.value());
    }
    proto::MembershipMessage offer;
    for (std::size_t bucket = 0; bucket < 256; ++bucket) {
      offer.mutable_digest_offer()->add_digests(static_cast<std::uint32_t>(bucket));
    }
    for (const auto* message : {&page, &records, &offer}) {
      core.OnMessage(sender, message->SerializeAsString(), At(now), actions);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ByteBudgetTest);

}  // namespace
}  // namespace gaugevalve::membership
