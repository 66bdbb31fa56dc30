// The committed pages and examples, held to the code.
#include "gaugevalve/settings/reference.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "gaugevalve/settings/effective_settings.h"
#include "gaugevalve/settings/settings_tree.h"

namespace gaugevalve::settings {
namespace {

const std::filesystem::path& SourceRoot() {
  static const std::filesystem::path root(GAUGEVALVE_SOURCE_ROOT);
  return root;
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream stream(path);
  CPPUNIT_ASSERT_MESSAGE(path.string(), stream.good());
  return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

class ReferenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReferenceTest);
  CPPUNIT_TEST(PageIsTheOneThatTheSchemaGives);
  CPPUNIT_TEST(ExampleTreesAreGood);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PageIsTheOneThatTheSchemaGives() {
    CPPUNIT_ASSERT_EQUAL(SettingsReference(), ReadFile(SourceRoot() / "docs/SETTINGS.md"));
  }

  void ExampleTreesAreGood() {
    std::size_t checked = 0;
    for (const auto& file :
         std::filesystem::directory_iterator(SourceRoot() / "examples/settings")) {
      const SettingsTree tree = ParseTree(ReadFile(file.path()), file.path().filename().string());
      std::size_t endpoints = 0;
      for (const ServiceSettings& service : Resolve(tree).services) {
        endpoints += service.endpoints.size();
      }
      CPPUNIT_ASSERT(endpoints >= 10);
      ++checked;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, checked);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReferenceTest);

}  // namespace
}  // namespace gaugevalve::settings
