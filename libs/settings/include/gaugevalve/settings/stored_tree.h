// The settings tree as read from the store, with what an edit needs to compare against.
#pragma once

#include <optional>
#include <vector>

#include "gaugevalve/settings/capabilities.h"
#include "gaugevalve/settings/root_document.h"
#include "gaugevalve/settings/settings_tree.h"
#include "gaugevalve/settings/store_transaction.h"

namespace gaugevalve::settings {

// One consistent read of the tree. A plain value.
struct StoredTree {
  std::optional<RootDocument> root;  // absent before the first edit
  ModRevision root_mod_revision;
  SettingsTree tree;                         // empty before the first edit
  std::optional<Capabilities> capabilities;  // absent before any balancer was in service
  ModRevision capabilities_mod_revision;

  // Returns the revision of the tree; 0 before the first edit.
  base::Revision Revision() const { return root ? root->revision : base::Revision(0); }
};

// Returns the tree in the entries: all those below kTreePrefix and that of kCapabilitiesKey, read
// as of one store revision. Throws base::FindingsError when they are no whole tree.
StoredTree ParseStoredTree(const std::vector<StoredEntry>& entries);

}  // namespace gaugevalve::settings
