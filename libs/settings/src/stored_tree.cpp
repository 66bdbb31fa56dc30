#include "gaugevalve/settings/stored_tree.h"

#include <string_view>

#include "gaugevalve/settings/store_layout.h"

namespace gaugevalve::settings {

StoredTree ParseStoredTree(const std::vector<StoredEntry>& entries) {
  StoredTree stored;
  std::vector<SubtreeDocument> subtrees;
  for (const StoredEntry& entry : entries) {
    const std::string_view key = entry.key;
    if (key == kRootKey) {
      stored.root = ParseRootDocument(entry.value);
      stored.root_mod_revision = entry.mod_revision;
    } else if (key == kCapabilitiesKey) {
      stored.capabilities = ParseCapabilities(entry.value);
      stored.capabilities_mod_revision = entry.mod_revision;
    } else if (key.starts_with(kSubtreePrefix)) {
      subtrees.push_back({std::string(key.substr(kSubtreePrefix.size())), entry.value});
    }
  }
  if (stored.root) {
    stored.tree = AssembleTree(*stored.root, subtrees);
  }
  return stored;
}

}  // namespace gaugevalve::settings
