// Feeds arbitrary bytes to everything that reads settings from files, the store or peers. The first
// byte chooses the reader. Readers refuse by base::FindingsError; what one accepts must read back
// from its own canonical text.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/settings/capabilities.h"
#include "gaugevalve/settings/history_entry.h"
#include "gaugevalve/settings/node_settings.h"
#include "gaugevalve/settings/root_document.h"
#include "gaugevalve/settings/settings_tree.h"
#include "gaugevalve/settings/subtree_document.h"
#include "gaugevalve/settings/tree_path.h"

namespace {

using namespace gaugevalve::settings;  // NOLINT(google-build-using-namespace): a program's only
                                       // file

void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

void ReadTree(const std::string& text) {
  const SettingsTree tree = ParseTree(text, "fuzz");
  Require(tree == ParseTree(ExportTree(tree), "fuzz"));
}

void ReadSubtree(const std::string& text) {
  const Branch branch = ParseSubtreeDocument({"service", text});
  Require(branch == ParseSubtreeDocument(MakeSubtreeDocument(branch)));
}

void ReadRoot(const std::string& text) {
  const RootDocument root = ParseRootDocument(text);
  const std::string formatted = FormatRootDocument(root);
  Require(formatted == FormatRootDocument(ParseRootDocument(formatted)));
}

void ReadHistory(const std::string& text) {
  const HistoryEntry entry = ParseHistoryEntry(text);
  const std::string formatted = FormatHistoryEntry(entry);
  Require(formatted == FormatHistoryEntry(ParseHistoryEntry(formatted)));
  ChangesOf(entry);
}

void ReadPath(const std::string& text) {
  const TreePath path = TreePath::Parse(text, "fuzz");
  Require(path == TreePath::Parse(path.ToString(), "fuzz"));
}

void Read(char reader, const std::string& text) {
  switch (reader) {
    case 't':
      return ReadTree(text);
    case 's':
      return ReadSubtree(text);
    case 'r':
      return ReadRoot(text);
    case 'h':
      return ReadHistory(text);
    case 'p':
      return ReadPath(text);
    case 'n':
      ParseNodeSettings(text, "fuzz");
      return;
    default:
      ParseCapabilities(text);
      return;
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
  try {
    Read(static_cast<char>(data[0]), text);
  } catch (const gaugevalve::base::FindingsError& error) {
    Require(!error.findings().empty());
  }
  return 0;
}
