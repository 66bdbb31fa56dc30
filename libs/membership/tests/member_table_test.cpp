#include "member_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::membership {
namespace {

constexpr base::NodeId kNode(1);

MemberRecord MakeRecord(std::uint64_t incarnation, MemberState state, bool with_metadata = true) {
  MemberRecord record;
  record.node = kNode;
  record.incarnation = base::Incarnation(incarnation);
  record.metadata_version = base::Incarnation(incarnation);
  record.state = state;
  if (with_metadata) {
    MemberMetadata metadata;
    metadata.process_incarnation = record.incarnation;
    record.metadata = std::make_shared<MemberMetadata>(metadata);
  }
  return record;
}

MemberRecord MakeRecordOf(std::uint64_t node, MemberState state) {
  MemberRecord record = MakeRecord(1, state);
  record.node = base::NodeId(node);
  return record;
}

base::TimePoint At(int second) { return base::TimePoint(std::chrono::seconds(second)); }

class MemberTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberTableTest);
  CPPUNIT_TEST(NewerRecordWins);
  CPPUNIT_TEST(ANewIncarnationNeedsItsMetadata);
  CPPUNIT_TEST(RefutationKeepsTheMetadata);
  CPPUNIT_TEST(DigestDependsOnLiveMembersOnly);
  CPPUNIT_TEST(FullTableEvictsDeadMembers);
  CPPUNIT_TEST(PrunesLongDeadMembers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NewerRecordWins() {
    using enum MemberState;
    MemberTable table(kLargeCapacity);
    ExpectMerge(table, MakeRecord(10, kSuspect), MergeOutcome::kChanged);
    ExpectMerge(table, MakeRecord(10, kSuspect), MergeOutcome::kSame);
    ExpectMerge(table, MakeRecord(10, kAlive), MergeOutcome::kIgnored);
    ExpectMerge(table, MakeRecord(10, kDead), MergeOutcome::kChanged);
    ExpectMerge(table, MakeRecord(10, kSuspect), MergeOutcome::kIgnored);
    ExpectMerge(table, MakeRecord(9, kLeft), MergeOutcome::kIgnored);
    ExpectMerge(table, MakeRecord(11, kAlive), MergeOutcome::kChanged);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.LiveCount());
  }

  void ANewIncarnationNeedsItsMetadata() {
    MemberTable table(kLargeCapacity);
    ExpectMerge(table, MakeRecord(10, MemberState::kAlive, false), MergeOutcome::kNeedsMetadata);
    CPPUNIT_ASSERT(table.Find(kNode) == nullptr);
    ExpectMerge(table, MakeRecord(10, MemberState::kAlive), MergeOutcome::kChanged);
    ExpectMerge(table, MakeRecord(20, MemberState::kAlive, false), MergeOutcome::kNeedsMetadata);
    CPPUNIT_ASSERT(table.Find(kNode)->incarnation == base::Incarnation(10));
    // A death is applied even if the metadata of that process is unknown.
    ExpectMerge(table, MakeRecord(20, MemberState::kDead, false), MergeOutcome::kChanged);
  }

  void RefutationKeepsTheMetadata() {
    MemberTable table(kLargeCapacity);
    table.Merge(MakeRecord(10, MemberState::kSuspect), At(0));
    MemberRecord refutation = MakeRecord(11, MemberState::kAlive, false);
    refutation.metadata_version = base::Incarnation(10);
    ExpectMerge(table, refutation, MergeOutcome::kChanged);
    const Member* member = table.Find(kNode);
    CPPUNIT_ASSERT(member->metadata->process_incarnation == base::Incarnation(10));
    CPPUNIT_ASSERT(member->metadata_version == base::Incarnation(10));
  }

  void DigestDependsOnLiveMembersOnly() {
    MemberTable first(kLargeCapacity);
    MemberTable second(kLargeCapacity);
    first.Merge(MakeRecordOf(1, MemberState::kAlive), At(0));
    first.Merge(MakeRecordOf(2, MemberState::kAlive), At(0));
    first.Merge(MakeRecordOf(2, MemberState::kDead), At(1));
    second.Merge(MakeRecordOf(1, MemberState::kAlive), At(5));
    CPPUNIT_ASSERT(first.Digest().Buckets() == second.Digest().Buckets());
    second.Merge(MakeRecordOf(3, MemberState::kAlive), At(5));
    CPPUNIT_ASSERT(first.Digest().Buckets() != second.Digest().Buckets());
  }

  void FullTableEvictsDeadMembers() {
    MemberTable table(3);
    for (std::uint64_t node = 1; node <= 3; ++node) {
      table.Merge(MakeRecordOf(node, MemberState::kAlive), At(0));
    }
    ExpectMerge(table, MakeRecordOf(4, MemberState::kAlive), MergeOutcome::kRefused);
    table.Merge(MakeRecordOf(3, MemberState::kDead), At(1));
    table.Merge(MakeRecordOf(2, MemberState::kDead), At(2));
    ExpectMerge(table, MakeRecordOf(4, MemberState::kAlive), MergeOutcome::kChanged);
    CPPUNIT_ASSERT(table.Find(base::NodeId(3)) == nullptr);
    CPPUNIT_ASSERT(table.Find(base::NodeId(2)) != nullptr);
  }

  void PrunesLongDeadMembers() {
    MemberTable table(kLargeCapacity);
    table.Merge(MakeRecordOf(1, MemberState::kAlive), At(0));
    table.Merge(MakeRecordOf(2, MemberState::kAlive), At(0));
    table.Merge(MakeRecordOf(2, MemberState::kDead), At(10));
    table.PruneDead(At(10));
    CPPUNIT_ASSERT(table.Find(base::NodeId(2)) != nullptr);
    table.PruneDead(At(11));
    CPPUNIT_ASSERT(table.Find(base::NodeId(2)) == nullptr);
    CPPUNIT_ASSERT(table.Find(base::NodeId(1)) != nullptr);
  }

 private:
  static constexpr std::size_t kLargeCapacity = 100;

  static void ExpectMerge(MemberTable& table, const MemberRecord& record, MergeOutcome expected) {
    CPPUNIT_ASSERT(table.Merge(record, At(0)).outcome == expected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberTableTest);

}  // namespace
}  // namespace gaugevalve::membership
