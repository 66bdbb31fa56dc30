#include "gaugevalve/settings/tree_editor.h"

#include <cppunit/extensions/HelperMacros.h>

#include "expect_findings.h"
#include "gaugevalve/settings/store_layout.h"
#include "sample_tree.h"

namespace gaugevalve::settings {
namespace {

constexpr ModRevision kRootAt(5);
constexpr ModRevision kRootLater(6);

EditDescription Edit(const std::string& id) { return {id, "ana", "", 0}; }

StoredTree Base() {
  StoredTree stored;
  stored.tree = SampleTree();
  stored.root = MakeRootDocument(nullptr, stored.tree, Edit("first"));
  stored.root_mod_revision = kRootAt;
  return stored;
}

TreeEditor SetSlots(const std::string& id, const std::string& value) {
  return TreeEditor(Base(), {SetOperation{TreePath::Parse("services.orders.slots", "test"), value}},
                    Edit(id));
}

// What the store holds once the transaction was applied.
std::vector<StoredEntry> AfterCommitOf(const TreeEditor& editor) {
  std::vector<StoredEntry> entries;
  for (const KeyWrite& write : editor.Transaction().writes) {
    entries.push_back({write.key, write.value, kRootLater});
  }
  return entries;
}

class TreeEditorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TreeEditorTest);
  CPPUNIT_TEST(PlansOneTransactionOnTheRoot);
  CPPUNIT_TEST(AnsweredEditIsCommitted);
  CPPUNIT_TEST(LoserSeesTheWinnersChange);
  CPPUNIT_TEST(LostAnswerOfAnAppliedEditIsFoundAgain);
  CPPUNIT_TEST(LostAnswerWithAnUnchangedRootStaysUndecided);
  CPPUNIT_TEST(OutcomeBeyondTheHistoryIsUnknown);
  CPPUNIT_TEST(ChangedCapabilitiesAreNoLostRace);
  CPPUNIT_TEST(RefusesWhatABalancerCannotApply);
  CPPUNIT_TEST(RefusesAnEditOfNothing);
  CPPUNIT_TEST(RefusesAnEditOfTooManyServices);
  CPPUNIT_TEST(RemovesTheOldestHistoryEntry);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PlansOneTransactionOnTheRoot() {
    const StoreTransaction transaction = SetSlots("a", "3").Transaction();
    CPPUNIT_ASSERT(transaction.conditions.at(0) == (KeyCondition{std::string(kRootKey), kRootAt}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, transaction.writes.size());
    CPPUNIT_ASSERT_EQUAL(std::string(kRootKey), transaction.writes[0].key);
    CPPUNIT_ASSERT_EQUAL(SubtreeKey("orders"), transaction.writes[1].key);
    CPPUNIT_ASSERT_EQUAL(HistoryKey(base::Revision(2)), transaction.writes[2].key);
    CPPUNIT_ASSERT(transaction.deletions.empty());
  }

  void AnsweredEditIsCommitted() {
    TreeEditor editor = SetSlots("a", "3");
    const EditOutcome outcome = editor.OnAnswer({true, {}});
    CPPUNIT_ASSERT(outcome.status == EditStatus::kCommitted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, outcome.revision.value());
    CPPUNIT_ASSERT(!outcome.was_looked_up);
    CPPUNIT_ASSERT(editor.OnAnswerLost().status == EditStatus::kCommitted);
  }

  void LoserSeesTheWinnersChange() {
    TreeEditor loser = SetSlots("a", "3");
    const EditOutcome outcome = loser.OnAnswer({false, AfterCommitOf(SetSlots("b", "4"))});
    CPPUNIT_ASSERT(outcome.status == EditStatus::kLostRace);
    CPPUNIT_ASSERT_EQUAL(std::string("set services.orders.slots to 4\n"),
                         DescribeChanges(ChangesOf(*outcome.winner)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, outcome.present_revision.value());
  }

  void LostAnswerOfAnAppliedEditIsFoundAgain() {
    TreeEditor looks_up = SetSlots("a", "3");
    CPPUNIT_ASSERT(looks_up.OnAnswerLost().status == EditStatus::kUndecided);
    const EditOutcome outcome = looks_up.OnLookUp(AfterCommitOf(looks_up));
    CPPUNIT_ASSERT(outcome.status == EditStatus::kCommitted);
    CPPUNIT_ASSERT(outcome.was_looked_up);

    TreeEditor sends_again = SetSlots("a", "3");
    sends_again.OnAnswerLost();
    const EditOutcome again = sends_again.OnAnswer({false, AfterCommitOf(sends_again)});
    CPPUNIT_ASSERT(again.status == EditStatus::kCommitted);
    CPPUNIT_ASSERT(again.was_looked_up);
  }

  void LostAnswerWithAnUnchangedRootStaysUndecided() {
    TreeEditor editor = SetSlots("a", "3");
    editor.OnAnswerLost();
    // An entry left by an earlier life of the tree is no winner while the root is unchanged.
    std::vector<StoredEntry> entries = AfterCommitOf(SetSlots("b", "4"));
    entries[0].mod_revision = kRootAt;
    CPPUNIT_ASSERT(editor.OnLookUp(entries).status == EditStatus::kUndecided);
    CPPUNIT_ASSERT(editor.OnAnswer({true, {}}).status == EditStatus::kCommitted);
  }

  void OutcomeBeyondTheHistoryIsUnknown() {
    TreeEditor editor = SetSlots("a", "3");
    editor.OnAnswerLost();
    std::vector<StoredEntry> entries = AfterCommitOf(SetSlots("b", "4"));
    entries.pop_back();
    CPPUNIT_ASSERT(editor.OnLookUp(entries).status == EditStatus::kUnknown);
  }

  void ChangedCapabilitiesAreNoLostRace() {
    TreeEditor editor = SetSlots("a", "3");
    const std::vector<StoredEntry> entries{
        {std::string(kRootKey), FormatRootDocument(*Base().root), kRootAt},
        {std::string(kCapabilitiesKey), FormatCapabilities({1}), kRootLater}};
    CPPUNIT_ASSERT(editor.OnAnswer({false, entries}).status == EditStatus::kCapabilitiesChanged);
  }

  void RefusesWhatABalancerCannotApply() {
    StoredTree stored = Base();
    stored.capabilities = Capabilities{0};
    const std::vector<TreeOperation> operations{
        SetOperation{TreePath::Parse("slots", "test"), "3"}};
    CPPUNIT_ASSERT_EQUAL(std::string("edit: needs settings schema 1, but a balancer in service "
                                     "understands only 0\n"),
                         FindingsOf([&] { TreeEditor(stored, operations, Edit("a")); }));
  }

  void RefusesAnEditOfNothing() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("edit: changes nothing: the tree already is like this\n"), FindingsOf([] {
          TreeEditor(Base(), {SetOperation{TreePath::Parse("slots", "test"), "7"}}, Edit("a"));
        }));
  }

  void RefusesAnEditOfTooManyServices() {
    std::string yaml = "version: 1\nservices:\n";
    for (std::size_t index = 0; index <= kMaxServicesInEdit; ++index) {
      const std::string number = std::to_string(index);
      yaml += "  s" + number +
              ": {kind: datagram, virtual_address: \"192.0.2.1:" + std::to_string(index + 1) +
              "\"}\n";
    }
    const std::vector<TreeOperation> operations{ReplaceOperation{ParseTree(yaml, "t")}};
    const std::string findings =
        FindingsOf([&] { TreeEditor(StoredTree{}, operations, Edit("a")); });
    CPPUNIT_ASSERT_EQUAL(
        std::string("edit: changes 101 services; at most 100 in one edit: make it in parts\n"),
        findings);
  }

  void RemovesTheOldestHistoryEntry() {
    StoredTree stored = Base();
    stored.root->revision = base::Revision(kHistoryLength);
    const TreeEditor editor(stored, {SetOperation{TreePath::Parse("slots", "test"), "3"}},
                            Edit("a"));
    CPPUNIT_ASSERT_EQUAL(HistoryKey(base::Revision(1)), editor.Transaction().deletions.at(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TreeEditorTest);

}  // namespace
}  // namespace gaugevalve::settings
