#include "gaugevalve/settings/tree_operation.h"

#include <cppunit/extensions/HelperMacros.h>

#include "expect_findings.h"
#include "gaugevalve/settings/effective_settings.h"
#include "sample_tree.h"

namespace gaugevalve::settings {
namespace {

constexpr const char* kEast = "services.orders.regions.north.zones.east";

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
         {"", "slots", "services.orders", "services.orders.kind",
          "services.orders.regions.north.zones.east.endpoints.orders-1.weight"}) {
      CPPUNIT_ASSERT_EQUAL(text, Path(text).ToString());
    }
  }

  void BadPathsSayWhatWouldBeRight() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("test: services.orders.slotz: unknown key 'slotz'; did you mean 'slots'?\n"),
        FindingsOf([] { Path("services.orders.slotz"); }));
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
        std::string("edit: services.orders.regions.north.zones.east.slots: is not set here\n"),
        FindingsOf([&] { Apply(SampleTree(), UnsetOperation{path}); }));
  }

  void SetsAndUnsetsBranches() {
    const TreePath path = Path("services.orders.regions.hills.zones.top.endpoints.orders-9");
    const SettingsTree set = Apply(SampleTree(), SetOperation{path, "{slots: 2}"});
    CPPUNIT_ASSERT_EQUAL(std::string("slots: 2\n"), ReadPath(set, path));
    const SettingsTree unset = Apply(set, UnsetOperation{Path("services.orders.regions.hills")});
    CPPUNIT_ASSERT(SampleTree() == unset);
  }

  void RefusesAFieldAtAMissingBranch() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("edit: services.orders.regions.north.zones.eest.slots: in zones: unknown key "
                    "'eest'; did you mean 'east'?\n"),
        FindingsOf([] {
          Apply(SampleTree(),
                SetOperation{Path("services.orders.regions.north.zones.eest.slots"), "3"});
        }));
  }

  void RefusesAResultWithFindings() {
    const TreeOperation operation =
        SetOperation{Path("services.files.virtual_address"), "192.0.2.10:443"};
    const std::string findings = FindingsOf([&] { Apply(SampleTree(), operation); });
    CPPUNIT_ASSERT(findings.find("already the virtual address") != std::string::npos);
  }

  void RefusesToChangeFixedFields() {
    const TreePath count = Path("services.files.bucket_count");
    CPPUNIT_ASSERT(!FindingsOf([&] { Apply(SampleTree(), SetOperation{count, "128"}); }).empty());
    CPPUNIT_ASSERT(!FindingsOf([&] { Apply(SampleTree(), UnsetOperation{count}); }).empty());
    // What merely spells out the default changes nothing.
    Apply(SampleTree(), SetOperation{Path("services.orders.bucket_count"), "256"});
    // The service may go as a whole.
    Apply(SampleTree(), UnsetOperation{Path("services.files")});
  }

  void DrainingZoneDrainsItsEndpoints() {
    const SettingsTree tree =
        Apply(SampleTree(), SetOperation{Path("draining_zones"), "north/west,north/west"});
    CPPUNIT_ASSERT_EQUAL(std::string("north/west\n"), ReadPath(tree, Path("draining_zones")));
    const EffectiveSettings settings = Resolve(tree);
    const ServiceSettings& orders = *settings.FindService("orders");
    CPPUNIT_ASSERT(orders.FindEndpoint("orders-3")->state == AdministrativeState::kDraining);
    CPPUNIT_ASSERT_EQUAL(std::string("from the root"),
                         orders.FindEndpoint("orders-3")->DescribeOrigin(FieldId::kState));
    CPPUNIT_ASSERT(orders.FindEndpoint("orders-1")->state == AdministrativeState::kServing);
  }

  void RefusesToDrainAZoneThatIsNowhere() {
    CPPUNIT_ASSERT_EQUAL(std::string("edit: draining_zones: no service has a zone north/wets\n"),
                         FindingsOf([] {
                           Apply(SampleTree(), SetOperation{Path("draining_zones"), "north/wets"});
                         }));
    CPPUNIT_ASSERT(!FindingsOf([] {
                      Apply(SampleTree(), SetOperation{Path("draining_zones"), "west"});
                    }).empty());
  }

  void DiffIsInOperatorsWords() {
    const SettingsTree before = SampleTree();
    const SettingsTree after = ApplyOperations(
        before, {SetOperation{Path("slots"), "8"}, SetOperation{Path(kEast), "{state: draining}"},
                 SetOperation{Path("services.orders.weight"), "20"},
                 UnsetOperation{Path("services.files")}});
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "changed slots from 7 to 8\n"
            "removed service services.files\n"
            "set services.orders.weight to 20\n"
            "set services.orders.regions.north.zones.east.state to draining\n"
            "removed endpoint services.orders.regions.north.zones.east.endpoints.orders-1\n"
            "removed endpoint services.orders.regions.north.zones.east.endpoints.orders-2\n"),
        DescribeChanges(DiffTrees(before, after)));
    CPPUNIT_ASSERT(DiffTrees(after, after).empty());
  }

  void UndoRestoresWhatWasChanged() {
    const SettingsTree before = SampleTree();
    const SettingsTree after = ApplyOperations(
        before, {SetOperation{Path("slots"), "8"}, UnsetOperation{Path("services.files")},
                 SetOperation{Path("services.orders.regions.hills"), "{weight: 1}"}});
    const SettingsTree later = Apply(after, SetOperation{Path("services.orders.weight"), "20"});
    const SettingsTree undone = Apply(later, UndoOperation{DiffTrees(before, after)});
    CPPUNIT_ASSERT(undone == Apply(before, SetOperation{Path("services.orders.weight"), "20"}));
  }

  void UndoNeverOverwritesALaterEdit() {
    const SettingsTree before = SampleTree();
    const SettingsTree after = ApplyOperations(
        before, {SetOperation{Path("slots"), "8"}, UnsetOperation{Path("services.files")}});
    const SettingsTree later = Apply(after, SetOperation{Path("slots"), "9"});
    CPPUNIT_ASSERT_EQUAL(
        std::string("store: slots: can't be taken back: it was changed again since\n"),
        FindingsOf([&] { Apply(later, UndoOperation{DiffTrees(before, after)}); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TreeOperationTest);

}  // namespace
}  // namespace gaugevalve::settings
