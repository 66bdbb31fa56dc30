#include "gaugevalve/simulation/simulator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

#include "gaugevalve/simulation/simulated_transport.h"

namespace gaugevalve::simulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20'260'701;
constexpr TimerToken kTick = 1;

struct Record {
  base::TimePoint at;
  std::string text;

  friend bool operator==(const Record&, const Record&) = default;
};

// Sends "ping" to a peer every 10 ms and writes down all that happens to it.
class RecordingNode final : public SimulatedNode {
 public:
  RecordingNode(std::vector<Record>& records, base::SocketAddress peer)
      : records_(records), peer_(peer) {}

  void OnStart(NodeContext& context) override {
    context_ = &context;
    context.SetTimer(milliseconds(10), kTick);
  }
  void OnMessage(const Message& message) override {
    records_.push_back({context_->Now(), message.bytes});
  }
  void OnTimer(TimerToken /*token*/) override {
    records_.push_back({context_->Now(), "tick"});
    context_->Send(peer_, 0, "ping");
    context_->SetTimer(milliseconds(10), kTick);
  }

 private:
  std::vector<Record>& records_;
  base::SocketAddress peer_;
  NodeContext* context_ = nullptr;
};

class SimulatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SimulatorTest);
  CPPUNIT_TEST(SameSeedGivesTheSameRun);
  CPPUNIT_TEST(LatencyDependsOnTheZones);
  CPPUNIT_TEST(KilledNodeIsSilentUntilItsRestart);
  CPPUNIT_TEST(FrozenNodeGetsWhatWaited);
  CPPUNIT_TEST(PartitionCutsAndHeals);
  CPPUNIT_TEST(AddressGoesToTheLatestNode);
  CPPUNIT_TEST(TransportCarriesEnvelopes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SameSeedGivesTheSameRun() {
    const auto first = RunWithFaults(kSeed);
    CPPUNIT_ASSERT(first == RunWithFaults(kSeed));
    CPPUNIT_ASSERT(first != RunWithFaults(kSeed + 1));
  }

  void LatencyDependsOnTheZones() {
    Simulator simulator(kSeed, MakeNetwork());
    AddPair(simulator, ZoneIndex(0), ZoneIndex(1));
    simulator.RunFor(milliseconds(100));
    // The first ping leaves at 10 ms and takes 25 ms and at most a tenth of that in jitter.
    const Record& first = FirstPing(right_);
    CPPUNIT_ASSERT(first.at >= At(milliseconds(35)));
    CPPUNIT_ASSERT(first.at <= At(milliseconds(38)));
  }

  void KilledNodeIsSilentUntilItsRestart() {
    Simulator simulator(kSeed, MakeNetwork());
    const auto [left, right] = AddPair(simulator, ZoneIndex(0), ZoneIndex(0));
    simulator.RunFor(seconds(1));
    simulator.Kill(right);
    right_.clear();
    simulator.RunFor(seconds(1));
    CPPUNIT_ASSERT(right_.empty());
    CPPUNIT_ASSERT(simulator.Find(right) == nullptr);
    simulator.Restart(right, std::make_unique<RecordingNode>(right_, Address(1)));
    simulator.RunFor(seconds(1));
    CPPUNIT_ASSERT(!right_.empty());
    CPPUNIT_ASSERT(simulator.State(left) == NodeState::kRunning);
  }

  void FrozenNodeGetsWhatWaited() {
    Simulator simulator(kSeed, MakeNetwork());
    const NodeIndex right = AddPair(simulator, ZoneIndex(0), ZoneIndex(0)).right;
    simulator.Freeze(right);
    simulator.RunFor(seconds(20));
    CPPUNIT_ASSERT(right_.empty());
    simulator.Thaw(right);
    // One timer was due once; messages are kept up to the limit, the rest is counted.
    CPPUNIT_ASSERT_EQUAL(Simulator::kFrozenNodeMessages + 1, right_.size());
    CPPUNIT_ASSERT(simulator.Counters(right).dropped_while_frozen > 0);
  }

  void PartitionCutsAndHeals() {
    Simulator simulator(kSeed, MakeNetwork());
    AddPair(simulator, ZoneIndex(0), ZoneIndex(1));
    simulator.Network().BlockRegions("north", "south");
    simulator.RunFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountPings(right_));
    simulator.Network().HealPartitions();
    simulator.RunFor(seconds(1));
    CPPUNIT_ASSERT(CountPings(right_) > 0);
    CPPUNIT_ASSERT(CountPings(left_) > 0);
  }

  void AddressGoesToTheLatestNode() {
    Simulator simulator(kSeed, MakeNetwork());
    const NodeIndex right = AddPair(simulator, ZoneIndex(0), ZoneIndex(0)).right;
    simulator.Kill(right);
    std::vector<Record> successor;
    simulator.AddNode({.zone = ZoneIndex(0), .address = Address(2)},
                      std::make_unique<RecordingNode>(successor, Address(1)));
    simulator.RunFor(milliseconds(100));
    CPPUNIT_ASSERT(CountPings(successor) > 0);
  }

  void TransportCarriesEnvelopes();

 private:
  struct Pair {
    NodeIndex left;
    NodeIndex right;
  };

  static base::TimePoint At(base::Duration since_start) { return base::TimePoint(since_start); }

  static base::SocketAddress Address(std::uint32_t number) {
    constexpr std::uint32_t kNetwork = 0x0a000000;
    return base::SocketAddress::Ipv4(kNetwork + number, 7000);
  }

  static NetworkModel MakeNetwork() {
    return {{{"north", "zone-1"}, {"south", "zone-2"}}, LatencyProfile{}};
  }

  Pair AddPair(Simulator& simulator, ZoneIndex left_zone, ZoneIndex right_zone) {
    left_.clear();
    right_.clear();
    const NodeIndex left = simulator.AddNode({.zone = left_zone, .address = Address(1)},
                                             std::make_unique<RecordingNode>(left_, Address(2)));
    const NodeIndex right = simulator.AddNode({.zone = right_zone, .address = Address(2)},
                                              std::make_unique<RecordingNode>(right_, Address(1)));
    return {left, right};
  }

  std::vector<Record> RunWithFaults(std::uint64_t seed) {
    Simulator simulator(seed, MakeNetwork());
    simulator.Network().SetFaults({.loss = 0.2, .duplication = 0.2, .reordering = 0.2});
    AddPair(simulator, ZoneIndex(0), ZoneIndex(1));
    simulator.RunFor(seconds(5));
    return right_;
  }

  static std::size_t CountPings(const std::vector<Record>& records) {
    std::size_t count = 0;
    for (const Record& record : records) {
      count += record.text == "ping" ? 1 : 0;
    }
    return count;
  }

  static const Record& FirstPing(const std::vector<Record>& records) {
    for (const Record& record : records) {
      if (record.text == "ping") {
        return record;
      }
    }
    CPPUNIT_FAIL("no ping arrived");
    return records.front();
  }

  std::vector<Record> left_;
  std::vector<Record> right_;
};

// Answers every control message with its own payload, or starts by asking.
class TransportNode final : public SimulatedNode {
 public:
  TransportNode(base::SocketAddress peer, bool asks) : peer_(peer), asks_(asks) {}

  void OnStart(NodeContext& context) override {
    transport_ = std::make_unique<SimulatedTransport>(
        context, transport::SenderIdentity{base::NodeId(context.Index().value()), {}, {}, {}});
    transport_->SetReceiver(transport::MessageKind::kControl, [this](const auto& envelope) {
      received.push_back(envelope.payload);
      if (!asks_) {
        transport_->Send(envelope.sender.control_address, transport::MessageKind::kControl, "no");
      }
    });
    context.SetTimer(milliseconds(1), kTick);
  }
  void OnMessage(const Message& message) override { transport_->OnMessage(message); }
  void OnTimer(TimerToken /*token*/) override {
    if (asks_) {
      transport_->Send(peer_, transport::MessageKind::kControl, "well?");
    }
  }

  std::vector<std::string> received;

 private:
  base::SocketAddress peer_;
  bool asks_;
  std::unique_ptr<SimulatedTransport> transport_;
};

void SimulatorTest::TransportCarriesEnvelopes() {
  Simulator simulator(kSeed, MakeNetwork());
  auto asking = std::make_unique<TransportNode>(Address(2), true);
  auto answering = std::make_unique<TransportNode>(Address(1), false);
  const TransportNode* asker = asking.get();
  simulator.AddNode({.zone = ZoneIndex(0), .address = Address(1)}, std::move(asking));
  simulator.AddNode({.zone = ZoneIndex(0), .address = Address(2)}, std::move(answering));
  simulator.RunFor(seconds(1));
  CPPUNIT_ASSERT(asker->received == std::vector<std::string>{"no"});
}

CPPUNIT_TEST_SUITE_REGISTRATION(SimulatorTest);

}  // namespace
}  // namespace gaugevalve::simulation
