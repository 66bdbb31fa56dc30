#include "group_summary.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>

namespace gaugevalve::membership {
namespace {

constexpr std::size_t kMembers = 40;
constexpr std::uint64_t kIncarnation = 100;

MemberRecord MakeRecord(std::size_t index, std::uint64_t refutations, MemberState state) {
  MemberMetadata metadata;
  metadata.zone = "zone";
  metadata.process_incarnation = base::Incarnation(kIncarnation);
  MemberRecord record;
  record.node = base::NodeId(1 + index * MemberGroups::kSlices);  // all in one group
  record.incarnation = base::Incarnation(kIncarnation + refutations);
  record.metadata_version = base::Incarnation(kIncarnation);
  record.state = state;
  record.metadata = std::make_shared<MemberMetadata>(metadata);
  return record;
}

class GroupSummaryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupSummaryTest);
  CPPUNIT_TEST(EncodesDeadMembersCompactly);
  CPPUNIT_TEST(IncludesOnlyMembersWithEqualRefutations);
  CPPUNIT_TEST(IsIgnoredWhenBasesDiffer);
  CPPUNIT_TEST(StateOfMembersDoesNotChangeTheBase);
  CPPUNIT_TEST(MalformedSummariesAreIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EncodesDeadMembersCompactly() {
    MemberTable sender = MakeTable(kMembers);
    for (std::size_t index = 0; index < kMembers; index += 2) {
      sender.Merge(MakeRecord(index, 0, MemberState::kDead), {});
    }
    const proto::GroupSummary summary = Summarise(sender, 0, kMembers / 2);
    CPPUNIT_ASSERT(summary.ByteSizeLong() <= 24);
    MemberTable receiver = MakeTable(kMembers);
    const auto records = DecodeSummary(receiver, summary, false);
    CPPUNIT_ASSERT_EQUAL(kMembers / 2, records.size());
    for (const MemberRecord& record : records) {
      CPPUNIT_ASSERT(sender.Find(record.node)->state == MemberState::kDead);
      CPPUNIT_ASSERT(receiver.Merge(record, {}).outcome == MergeOutcome::kChanged);
    }
    CPPUNIT_ASSERT(DecodeSummary(receiver, summary, false).empty());  // already known
  }

  void IncludesOnlyMembersWithEqualRefutations() {
    MemberTable sender = MakeTable(kMembers);
    sender.Merge(MakeRecord(0, 0, MemberState::kDead), {});
    sender.Merge(MakeRecord(1, 1, MemberState::kDead), {});
    const auto records = DecodeSummary(MakeTable(kMembers), Summarise(sender, 1, 1), false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records.size());
    CPPUNIT_ASSERT(records.front().incarnation == base::Incarnation(kIncarnation + 1));
    CPPUNIT_ASSERT(records.front().node == MakeRecord(1, 1, MemberState::kDead).node);
  }

  void IsIgnoredWhenBasesDiffer() {
    MemberTable sender = MakeTable(kMembers);
    sender.Merge(MakeRecord(0, 0, MemberState::kDead), {});
    const proto::GroupSummary summary = Summarise(sender, 0, 1);
    CPPUNIT_ASSERT(DecodeSummary(MakeTable(kMembers - 1), summary, false).empty());
    MemberTable changed = MakeTable(kMembers);
    MemberRecord record = MakeRecord(7, 5, MemberState::kAlive);
    record.metadata_version = record.incarnation;
    changed.Merge(record, {});
    CPPUNIT_ASSERT(DecodeSummary(changed, summary, false).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, DecodeSummary(changed, summary, true).size());
  }

  void StateOfMembersDoesNotChangeTheBase() {
    MemberTable sender = MakeTable(kMembers);
    sender.Merge(MakeRecord(0, 0, MemberState::kDead), {});
    MemberTable receiver = MakeTable(kMembers);
    receiver.Merge(MakeRecord(3, 0, MemberState::kSuspect), {});
    receiver.Merge(MakeRecord(4, 2, MemberState::kAlive), {});
    receiver.Merge(MakeRecord(5, 0, MemberState::kDead), {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         DecodeSummary(receiver, Summarise(sender, 0, 1), false).size());
  }

  void MalformedSummariesAreIgnored() {
    MemberTable sender = MakeTable(kMembers);
    sender.Merge(MakeRecord(0, 0, MemberState::kDead), {});
    proto::GroupSummary summary = Summarise(sender, 0, 1);
    summary.set_members(std::string(100, '\xff'));  // more bits than members
    CPPUNIT_ASSERT_EQUAL(kMembers, DecodeSummary(MakeTable(kMembers), summary, false).size());
    summary.set_refutations(std::numeric_limits<std::uint64_t>::max());  // would wrap around
    CPPUNIT_ASSERT(DecodeSummary(MakeTable(kMembers), summary, false).empty());
    summary.set_refutations(0);
    summary.set_state(proto::MEMBER_STATE_LEFT);
    CPPUNIT_ASSERT(DecodeSummary(MakeTable(kMembers), summary, false).empty());
    summary.set_state(proto::MEMBER_STATE_DEAD);
    summary.set_group(summary.group() + 1);
    CPPUNIT_ASSERT(DecodeSummary(MakeTable(kMembers), summary, false).empty());
  }

 private:
  static MemberTable MakeTable(std::size_t members) {
    MemberTable table(kMembers);
    for (std::size_t index = 0; index < members; ++index) {
      table.Merge(MakeRecord(index, 0, MemberState::kAlive), {});
    }
    return table;
  }

  // Returns the summary of the dead members with this number of refutations. Fails unless it covers
  // `members`.
  static proto::GroupSummary Summarise(const MemberTable& table, std::uint64_t refutations,
                                       std::size_t members) {
    SummaryKey key = SummaryOf(table.Members().begin()->second);
    key.refutations = refutations;
    key.state = MemberState::kDead;
    proto::GroupSummary summary;
    CPPUNIT_ASSERT_EQUAL(members, EncodeSummary(table, key, summary));
    return summary;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupSummaryTest);

}  // namespace
}  // namespace gaugevalve::membership
