// Tests of the core in small simulated groups.
#include "gaugevalve/membership/membership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <map>
#include <set>

#include "fingerprint_index.h"
#include "gaugevalve/membership/membership.pb.h"
#include "gaugevalve/membership_simulation/hollow_group.h"

namespace gaugevalve::membership {
namespace {

using membership_simulation::HollowGroup;
using membership_simulation::HollowGroupSettings;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 4711;
constexpr std::size_t kMembers = 28;

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(JoinsBySeedsAlone);
  CPPUNIT_TEST(DeadMemberIsReportedByAll);
  CPPUNIT_TEST(LeavingIsNotReportedAsFailure);
  CPPUNIT_TEST(RestartIsReported);
  CPPUNIT_TEST(FrozenMemberLearnsThatItWasDeclaredDead);
  CPPUNIT_TEST(BriefFreezeIsRefuted);
  CPPUNIT_TEST(RegionsRejoinAfterPartition);
  CPPUNIT_TEST(MetadataChangeIsSeenByAll);
  CPPUNIT_TEST(FormerProcessIsSuperseded);
  CPPUNIT_TEST(NodeAtReusedAddressDoesNotAckForFormerOwner);
  CPPUNIT_TEST(FingerprintRefutationRequiresMetadata);
  CPPUNIT_TEST(RestartWithClockSetBackIsNotSuperseded);
  CPPUNIT_TEST(LongNamesAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    events_.clear();
    group_.reset();
    simulator_ = std::make_unique<simulation::Simulator>(
        kSeed, simulation::NetworkModel(
                   {{"north", "n-1"}, {"north", "n-2"}, {"south", "s-1"}, {"south", "s-2"}},
                   simulation::LatencyProfile{}));
  }

  void JoinsBySeedsAlone() {
    MakeGroup(false);
    ExpectConvergence(seconds(30));
    for (std::size_t member = 0; member < kMembers; ++member) {
      CPPUNIT_ASSERT(group_->Process(member).Core().IsJoined());
    }
  }

  void DeadMemberIsReportedByAll() {
    MakeGroup(true);
    simulator_->RunFor(seconds(5));
    group_->Kill(9);
    ExpectConvergence(seconds(60));
    CPPUNIT_ASSERT_EQUAL(kMembers - 1, Observers(EventKind::kFailed, 9));
    CPPUNIT_ASSERT_EQUAL(kMembers - 1, TotalOf(EventKind::kFailed));
  }

  void LeavingIsNotReportedAsFailure() {
    MakeGroup(true);
    simulator_->RunFor(seconds(5));
    group_->Leave(9);
    simulator_->RunFor(seconds(1));
    group_->Kill(9);
    ExpectConvergence(seconds(60));
    CPPUNIT_ASSERT_EQUAL(kMembers - 1, Observers(EventKind::kLeft, 9));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, TotalOf(EventKind::kFailed));
  }

  void RestartIsReported() {
    MakeGroup(true);
    simulator_->RunFor(seconds(5));
    const base::Incarnation former = group_->Process(9).Core().Self().incarnation;
    group_->Restart(9);
    ExpectConvergence(seconds(30));
    CPPUNIT_ASSERT_EQUAL(kMembers - 1, Observers(EventKind::kRestarted, 9));
    CPPUNIT_ASSERT(group_->Process(3).Core().Find(group_->Node(9))->incarnation > former);
  }

  void FrozenMemberLearnsThatItWasDeclaredDead() {
    MakeGroup(true);
    simulator_->RunFor(seconds(5));
    simulator_->Freeze(group_->Index(9));
    ExpectConvergence(seconds(60));
    simulator_->Thaw(group_->Index(9));
    ExpectConvergence(seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Observers(EventKind::kSelfPaused, 9));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Observers(EventKind::kSelfDeclaredDead, 9));
    // The thawed member had an outdated view, but must not declare any other member dead.
    CPPUNIT_ASSERT_EQUAL(kMembers - 1, TotalOf(EventKind::kFailed));
  }

  void BriefFreezeIsRefuted() {
    MakeGroup(true);
    simulator_->RunFor(seconds(5));
    simulator_->Freeze(group_->Index(9));
    simulator_->RunUntil([this] { return TotalOf(EventKind::kSuspected) > 0; }, seconds(30));
    simulator_->Thaw(group_->Index(9));
    ExpectConvergence(seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, TotalOf(EventKind::kFailed));
    CPPUNIT_ASSERT(Observers(EventKind::kRecovered, 9) > 0);
  }

  void RegionsRejoinAfterPartition() {
    MakeGroup(true);
    simulator_->RunFor(seconds(5));
    simulator_->Network().BlockRegions("north", "south");
    const bool is_split =
        simulator_->RunUntil([this] { return EachRegionSeesOnlyItself(); }, minutes(3));
    CPPUNIT_ASSERT(is_split);
    simulator_->RunFor(minutes(5));
    simulator_->Network().HealPartitions();
    ExpectConvergence(minutes(2));
  }

  void MetadataChangeIsSeenByAll() {
    MakeGroup(true);
    simulator_->RunFor(seconds(5));
    MemberMetadata metadata = *group_->Process(9).Core().Self().metadata;
    metadata.leaving = true;
    group_->Process(9).Runner().UpdateMetadata(metadata);
    ExpectConvergence(seconds(30));
    CPPUNIT_ASSERT(group_->Process(3).Core().Find(group_->Node(9))->metadata->leaving);
    CPPUNIT_ASSERT_EQUAL(kMembers - 1, Observers(EventKind::kChanged, 9));
  }

  void FormerProcessIsSuperseded() {
    // The former process is frozen while a process with the same identity starts at another
    // address.
    MakeGroup(true);
    simulator_->RunFor(seconds(5));
    simulator_->Freeze(group_->Index(9));
    simulator_->RunFor(seconds(1));
    membership_simulation::HollowMemberSettings settings;
    settings.node = group_->Node(9);
    settings.metadata = *group_->Process(9).Core().Self().metadata;
    settings.metadata.process_incarnation =
        base::Incarnation(settings.metadata.process_incarnation.value() + 6'000'000);
    settings.options.seeds = {simulator_->Placement(group_->Index(0)).address};
    const base::SocketAddress elsewhere = base::SocketAddress::Ipv4(0x0a010101, 7000);
    const simulation::NodeIndex successor =
        simulator_->AddNode({.zone = group_->Zone(9), .address = elsewhere},
                            std::make_unique<membership_simulation::HollowMember>(settings));
    simulator_->RunFor(seconds(20));
    simulator_->Thaw(group_->Index(9));
    simulator_->RunFor(seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Observers(EventKind::kSelfSuperseded, 9));
    const auto seen = group_->Process(3).Core().Find(group_->Node(9));
    CPPUNIT_ASSERT(seen->state == MemberState::kAlive);
    CPPUNIT_ASSERT(seen->metadata->control_address == elsewhere);
    CPPUNIT_ASSERT(simulator_->State(successor) == simulation::NodeState::kRunning);
  }

  void NodeAtReusedAddressDoesNotAckForFormerOwner() {
    MakeGroup(true);
    simulator_->RunFor(seconds(5));
    group_->Kill(9);
    membership_simulation::HollowMemberSettings settings;
    settings.node = base::MakeNodeId("another");
    settings.metadata = *group_->Process(13).Core().Self().metadata;
    settings.options.seeds = {simulator_->Placement(group_->Index(0)).address};
    simulator_->AddNode(simulator_->Placement(group_->Index(9)),
                        std::make_unique<membership_simulation::HollowMember>(settings));
    simulator_->RunFor(seconds(30));
    CPPUNIT_ASSERT_EQUAL(kMembers - 1, Observers(EventKind::kFailed, 9));
    CPPUNIT_ASSERT(group_->Process(3).Core().Find(settings.node)->state == MemberState::kAlive);
  }

  // Guards against a refutation being combined with outdated metadata. A member that had missed a
  // metadata change, but not the death after it, applied the refutation of that death to the
  // metadata from before the change. Found by the proof.
  void FingerprintRefutationRequiresMetadata() {
    constexpr base::NodeId kOther(9);
    constexpr base::Incarnation kKnown(10);
    constexpr base::Incarnation kDiedAt(11);  // its metadata had changed at this incarnation, too
    Member other{
        kOther, kKnown, kKnown, MemberState::kAlive, {}, std::make_shared<MemberMetadata>()};
    Membership core(base::NodeId(1), {}, {}, kSeed);
    core.Preload({&other, 1});
    MembershipActions actions;
    core.Start({}, actions);
    proto::MembershipMessage message;
    proto::MemberRecord& death = *message.add_updates();
    death.set_node(kOther.value());
    death.set_incarnation(kDiedAt.value());
    death.set_state(proto::MEMBER_STATE_DEAD);
    message.add_refuted(FingerprintIndex::Of(kOther, kDiedAt, kDiedAt));
    const transport::SenderIdentity sender{base::NodeId(2), {}, {}, {}};
    core.OnMessage(sender, message.SerializeAsString(), {}, actions);
    CPPUNIT_ASSERT(core.Find(kOther)->incarnation == kDiedAt);
    CPPUNIT_ASSERT(core.Find(kOther)->state == MemberState::kDead);
  }

  void RestartWithClockSetBackIsNotSuperseded() {
    MakeGroup(true);
    simulator_->RunFor(seconds(5));
    const base::Incarnation former = group_->Process(9).Core().Self().incarnation;
    group_->Kill(9);
    simulator_->RunFor(seconds(1));
    group_->Restart(9, std::chrono::hours(1));
    ExpectConvergence(seconds(60));
    CPPUNIT_ASSERT(group_->Process(9).Core().Self().incarnation > former);
    CPPUNIT_ASSERT(group_->Process(9).Core().Self().metadata->process_incarnation < former);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Observers(EventKind::kSelfSuperseded, 9));
  }

  void LongNamesAreRejected() {
    MemberMetadata metadata;
    metadata.zone = std::string(kMaximumNameBytes + 1, 'z');
    CPPUNIT_ASSERT_THROW(Membership(base::NodeId(1), metadata, {}, 1), std::invalid_argument);
  }

 private:
  struct Report {
    base::NodeId observer;
    base::NodeId member;

    friend auto operator<=>(const Report&, const Report&) = default;
  };

  void MakeGroup(bool is_preloaded) {
    HollowGroupSettings settings;
    settings.members = kMembers;
    settings.is_preloaded = is_preloaded;
    settings.listener = [this](simulation::NodeIndex observer, const MembershipEvent& event) {
      const base::NodeId observer_node =
          base::MakeNodeId("node-" + std::to_string(observer.value()));
      events_[event.kind].insert({observer_node, event.member.node});
    };
    group_ = std::make_unique<HollowGroup>(*simulator_, settings);
  }

  void ExpectConvergence(base::Duration limit) {
    std::string difference;
    const base::TimePoint end = simulator_->Now() + limit;
    while (simulator_->Now() < end && !group_->HasConverged()) {
      simulator_->RunFor(std::chrono::milliseconds(100));
    }
    CPPUNIT_ASSERT_MESSAGE(difference, group_->HasConverged(&difference));
  }

  bool EachRegionSeesOnlyItself() const {
    for (std::size_t member = 0; member < kMembers; ++member) {
      if (group_->Process(member).Core().LiveCount() != kMembers / 2) {
        return false;
      }
    }
    return true;
  }

  std::size_t Observers(EventKind kind, std::size_t member) const {
    std::size_t count = 0;
    const auto found = events_.find(kind);
    if (found == events_.end()) {
      return 0;
    }
    for (const Report& report : found->second) {
      count += report.member == group_->Node(member) ? 1 : 0;
    }
    return count;
  }

  std::size_t TotalOf(EventKind kind) const {
    const auto found = events_.find(kind);
    return found == events_.end() ? 0 : found->second.size();
  }

  std::unique_ptr<simulation::Simulator> simulator_;
  std::unique_ptr<HollowGroup> group_;
  std::map<EventKind, std::set<Report>> events_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace gaugevalve::membership
