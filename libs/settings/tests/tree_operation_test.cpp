#include "gaugevalve/settings/tree_operation.h"

#include <cppunit/extensions/HelperMacros.h>

#include "expect_findings.h"
#include "gaugevalve/settings/effective_settings.h"
#include "sample_tree.h"

namespace gaugevalve::settings {
namespace {

constexpr const char* kEast = "services.stock.regions.coast.zones.east";

TreePath Path(const std::string& text) { return TreePath::Parse(text, "test"); }

SettingsTree Apply(const SettingsTree& tree, TreeOperation operation) {
  return ApplyOperations(tree, {std::move(operation)});
}

class TreeOperationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TreeOperationTest);
  CPPUNIT_TEST(PathsReadBack);
  CPPUNIT_TEST(BadPathsSayWhatWouldBeRight);
  CPPUNIT_TEST(SetsAndUnsetsFields);
  CPPUNIT_TEST(SetsAndUnsetsBranches);
  CPPUNIT_TEST(RefusesAFieldAtAMissingBranch);
  CPPUNIT_TEST(RefusesAResultWithFindings);
  CPPUNIT_TEST(RefusesToChangeFixedFields);
  CPPUNIT_TEST(DrainingZoneDrainsItsEndpoints);
  CPPUNIT_TEST(RefusesToDrainAZoneThatIsNowhere);
  CPPUNIT_TEST(DiffIsInOperatorsWords);
  CPPUNIT_TEST(UndoRestoresWhatWasChanged);
  CPPUNIT_TEST(UndoNeverOverwritesALaterEdit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PathsReadBack() {
    for (const std::string text :
         {"", "slots", "services.stock", "services.stock.kind",
          "services.stock.regions.coast.zones.east.endpoints.stock-1.weight"}) {
      CPPUNIT_ASSERT_EQUAL(text, Path(text).ToString());
    }
  }

  void BadPathsSayWhatWouldBeRight() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("test: services.stock.slotz: unknown key 'slotz'; did you mean 'slots'?\n"),
        FindingsOf([] { Path("services.stock.slotz"); }));
    CPPUNIT_ASSERT_EQUAL(
        std::string("test: services: must go on with the name of one of the services\n"),
        FindingsOf([] { Path("services"); }));
    CPPUNIT_ASSERT(!FindingsOf([] { Path("services..slots"); }).empty());
    CPPUNIT_ASSERT(!FindingsOf([] { Path("kind"); }).empty());
    CPPUNIT_ASSERT(!FindingsOf([] { Path("slots."); }).empty());
  }

  void SetsAndUnsetsFields() {
    const TreePath path = Path(std::string(kEast) + ".slots");
    const SettingsTree set = Apply(SampleTree(), SetOperation{path, "3"});
    CPPUNIT_ASSERT_EQUAL(std::string("3\n"), ReadPath(set, path));
    CPPUNIT_ASSERT(SampleTree() == Apply(set, UnsetOperation{path}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("edit: services.stock.regions.coast.zones.east.slots: is not set here\n"),
        FindingsOf([&] { Apply(SampleTree(), UnsetOperation{path}); }));
  }

  void SetsAndUnsetsBranches() {
    const TreePath path = Path("services.stock.regions.hills.zones.top.endpoints.stock-9");
    const SettingsTree set = Apply(SampleTree(), SetOperation{path, "{slots: 2}"});
    CPPUNIT_ASSERT_EQUAL(std::string("slots: 2\n"), ReadPath(set, path));
    const SettingsTree unset = Apply(set, UnsetOperation{Path("services.stock.regions.hills")});
    CPPUNIT_ASSERT(SampleTree() == unset);
  }

  void RefusesAFieldAtAMissingBranch() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("edit: services.stock.regions.coast.zones.eest.slots: in zones: unknown key "
                    "'eest'; did you mean 'east'?\n"),
        FindingsOf([] {
          Apply(SampleTree(),
                SetOperation{Path("services.stock.regions.coast.zones.eest.slots"), "3"});
        }));
  }

  void RefusesAResultWithFindings() {
    const TreeOperation operation =
        SetOperation{Path("services.sheets.virtual_address"), "192.0.2.10:443"};
    const std::string findings = FindingsOf([&] { Apply(SampleTree(), operation); });
    CPPUNIT_ASSERT(findings.find("already the virtual address") != std::string::npos);
  }

  void RefusesToChangeFixedFields() {
    const TreePath count = Path("services.sheets.bucket_count");
    CPPUNIT_ASSERT(!FindingsOf([&] { Apply(SampleTree(), SetOperation{count, "128"}); }).empty());
    CPPUNIT_ASSERT(!FindingsOf([&] { Apply(SampleTree(), UnsetOperation{count}); }).empty());
    // What merely spells out the default changes nothing.
    Apply(SampleTree(), SetOperation{Path("services.stock.bucket_count"), "256"});
    // The service may go as a whole.
    Apply(SampleTree(), UnsetOperation{Path("services.sheets")});
  }

  void DrainingZoneDrainsItsEndpoints() {
    const SettingsTree tree =
        Apply(SampleTree(), SetOperation{Path("draining_zones"), "coast/west,coast/west"});
    CPPUNIT_ASSERT_EQUAL(std::string("coast/west\n"), ReadPath(tree, Path("draining_zones")));
    const EffectiveSettings settings = Resolve(tree);
    const ServiceSettings& stock = *settings.FindService("stock");
    CPPUNIT_ASSERT(stock.FindEndpoint("stock-3")->state == AdministrativeState::kDraining);
    CPPUNIT_ASSERT_EQUAL(std::string("from the root"),
                         stock.FindEndpoint("stock-3")->OriginOf(FieldId::kState).ToString());
    CPPUNIT_ASSERT(stock.FindEndpoint("stock-1")->state == AdministrativeState::kServing);
  }

  void RefusesToDrainAZoneThatIsNowhere() {
    CPPUNIT_ASSERT_EQUAL(std::string("edit: draining_zones: no service has a zone coast/wets\n"),
                         FindingsOf([] {
                           Apply(SampleTree(), SetOperation{Path("draining_zones"), "coast/wets"});
                         }));
    CPPUNIT_ASSERT(!FindingsOf([] {
                      Apply(SampleTree(), SetOperation{Path("draining_zones"), "west"});
                    }).empty());
  }

  void DiffIsInOperatorsWords() {
    const SettingsTree before = SampleTree();
    const SettingsTree after = ApplyOperations(
        before, {SetOperation{Path("slots"), "8"}, SetOperation{Path(kEast), "{state: draining}"},
                 SetOperation{Path("services.stock.weight"), "20"},
                 UnsetOperation{Path("services.sheets")}});
    CPPUNIT_ASSERT_EQUAL(
        std::string("changed slots from 7 to 8\n"
                    "removed service services.sheets\n"
                    "set services.stock.weight to 20\n"
                    "set services.stock.regions.coast.zones.east.state to draining\n"
                    "removed endpoint services.stock.regions.coast.zones.east.endpoints.stock-1\n"
                    "removed endpoint services.stock.regions.coast.zones.east.endpoints.stock-2\n"),
        DescribeChanges(DiffTrees(before, after)));
    CPPUNIT_ASSERT(DiffTrees(after, after).empty());
  }

  void UndoRestoresWhatWasChanged() {
    const SettingsTree before = SampleTree();
    const SettingsTree after = ApplyOperations(
        before, {SetOperation{Path("slots"), "8"}, UnsetOperation{Path("services.sheets")},
                 SetOperation{Path("services.stock.regions.hills"), "{weight: 1}"}});
    const SettingsTree later = Apply(after, SetOperation{Path("services.stock.weight"), "20"});
    const SettingsTree undone = Apply(later, UndoOperation{DiffTrees(before, after)});
    CPPUNIT_ASSERT(undone == Apply(before, SetOperation{Path("services.stock.weight"), "20"}));
  }

  void UndoNeverOverwritesALaterEdit() {
    const SettingsTree before = SampleTree();
    const SettingsTree after = ApplyOperations(
        before, {SetOperation{Path("slots"), "8"}, UnsetOperation{Path("services.sheets")}});
    const SettingsTree later = Apply(after, SetOperation{Path("slots"), "9"});
    CPPUNIT_ASSERT_EQUAL(
        std::string("store: slots: can't be taken back: it was changed again since\n"),
        FindingsOf([&] { Apply(later, UndoOperation{DiffTrees(before, after)}); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TreeOperationTest);

}  // namespace
}  // namespace gaugevalve::settings
