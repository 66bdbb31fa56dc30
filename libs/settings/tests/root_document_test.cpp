#include "gaugevalve/settings/root_document.h"

#include <cppunit/extensions/HelperMacros.h>

#include "expect_findings.h"
#include "gaugevalve/settings/capabilities.h"
#include "gaugevalve/settings/history_entry.h"
#include "gaugevalve/settings/tree_operation.h"
#include "sample_tree.h"

namespace gaugevalve::settings {
namespace {

EditDescription SampleEdit() { return {"id-1", "ana", "first \"tree\"", 1700000000}; }

class RootDocumentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RootDocumentTest);
  CPPUNIT_TEST(ReadsBackFromJson);
  CPPUNIT_TEST(AssemblesTheTreeFromItsParts);
  CPPUNIT_TEST(RefusesMissingAndForeignParts);
  CPPUNIT_TEST(AnEditMovesOnlyItsSubtree);
  CPPUNIT_TEST(RootGrowsByAFewBytesAService);
  CPPUNIT_TEST(MalformedDocumentsAreFindings);
  CPPUNIT_TEST(HistoryTellsWhatChanged);
  CPPUNIT_TEST(CapabilitiesReadBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsBackFromJson() {
    const RootDocument root = MakeRootDocument(nullptr, SampleTree(), SampleEdit());
    CPPUNIT_ASSERT(root == ParseRootDocument(FormatRootDocument(root)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, root.revision.value());
    const SubtreeDigest digest(0x1fU);
    CPPUNIT_ASSERT_EQUAL(std::string("000000000000001f"), FormatDigest(digest));
    CPPUNIT_ASSERT(digest == ParseDigest(FormatDigest(digest)));
    CPPUNIT_ASSERT(!ParseDigest("1f"));
  }

  void AssemblesTheTreeFromItsParts() {
    const SettingsTree tree = SampleTree();
    const RootDocument root = MakeRootDocument(nullptr, tree, SampleEdit());
    CPPUNIT_ASSERT(tree == AssembleTree(root, SplitTree(tree)));
  }

  void RefusesMissingAndForeignParts() {
    const SettingsTree tree = SampleTree();
    const RootDocument root = MakeRootDocument(nullptr, tree, SampleEdit());
    std::vector<SubtreeDocument> parts = SplitTree(tree);
    parts[0].text += "weight: 3\n";
    parts.pop_back();
    const std::string findings = FindingsOf([&] { AssembleTree(root, parts); });
    CPPUNIT_ASSERT(findings.find("services.files: no subtree with digest") != std::string::npos);
    CPPUNIT_ASSERT(findings.find("services.orders: no subtree with digest") != std::string::npos);
  }

  void AnEditMovesOnlyItsSubtree() {
    const SettingsTree before = SampleTree();
    const RootDocument first = MakeRootDocument(nullptr, before, SampleEdit());
    const TreePath path = TreePath::Parse("services.orders.weight", "test");
    const SettingsTree after = ApplyOperations(before, {SetOperation{path, "3"}});
    const RootDocument second = MakeRootDocument(&first, after, SampleEdit());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, second.revision.value());
    CPPUNIT_ASSERT(*second.Find("files") == *first.Find("files"));
    CPPUNIT_ASSERT(second.Find("orders")->digest != first.Find("orders")->digest);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, second.Find("orders")->changed_in.value());
  }

  // The root moves with every edit, so its size for a service is part of the control traffic.
  void RootGrowsByAFewBytesAService() {
    constexpr std::size_t kMostBytesAService = 68;  // with names of 12 characters
    const std::size_t growth = RootSizeWith(300) - RootSizeWith(100);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(growth), growth <= 200 * kMostBytesAService);
  }

  void MalformedDocumentsAreFindings() {
    CPPUNIT_ASSERT_EQUAL(std::string("store: settings root: is not a JSON object\n"
                                     "store: settings root: format_version: is missing\n"),
                         FindingsOf([] { ParseRootDocument("{"); }));
    CPPUNIT_ASSERT_EQUAL(
        std::string("store: settings root: format_version: is 9; this release reads 1\n"),
        FindingsOf([] { ParseRootDocument(R"({"format_version":9})"); }));
    const std::string findings = FindingsOf([] {
      ParseRootDocument(
          R"({"format_version":1,"revision":-1,"schema_version":1,"edit_id":5,"author":"",)"
          R"("comment":"","edited_at":0,"root_settings":"","services":[{"name":"a"},7]})");
    });
    for (const char* part : {"revision: must be a whole number", "edit_id: must be text",
                             "services[0].digest: is missing", "services[0].changed_in: is missing",
                             "services[1]: is not a JSON object"}) {
      CPPUNIT_ASSERT_MESSAGE(part + std::string(" in ") + findings,
                             findings.find(part) != std::string::npos);
    }
  }

  void HistoryTellsWhatChanged() {
    const SettingsTree before = SampleTree();
    const RootDocument first = MakeRootDocument(nullptr, before, SampleEdit());
    const SettingsTree after =
        ApplyOperations(before, {SetOperation{TreePath::Parse("slots", "test"), "3"},
                                 UnsetOperation{TreePath::Parse("services.files", "test")}});
    const RootDocument second = MakeRootDocument(&first, after, SampleEdit());
    const HistoryEntry entry = MakeHistoryEntry(&first, before, second, after);
    const HistoryEntry read = ParseHistoryEntry(FormatHistoryEntry(entry));
    CPPUNIT_ASSERT(entry == read);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.services.size());
    CPPUNIT_ASSERT(DiffTrees(before, after) == ChangesOf(read));
  }

  void CapabilitiesReadBack() {
    const Capabilities capabilities{7};
    CPPUNIT_ASSERT(capabilities == ParseCapabilities(FormatCapabilities(capabilities)));
  }

 private:
  static std::size_t RootSizeWith(int services) {
    SettingsTree tree;
    for (int number = 1000; number < 1000 + services; ++number) {
      const std::string name = "service-" + std::to_string(number);
      tree.root.children[name] = Branch{Level::kService, name, {}, {}, {}};
    }
    return FormatRootDocument(MakeRootDocument(nullptr, tree, SampleEdit())).size();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RootDocumentTest);

}  // namespace
}  // namespace gaugevalve::settings
