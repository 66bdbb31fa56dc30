// The document at the root of the stored tree: which edit made this state, and of what it consists.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/settings/settings_tree.h"
#include "gaugevalve/settings/subtree_document.h"

namespace gaugevalve::settings {

// Who made an edit, when and why.
struct EditDescription {
  std::string edit_id;  // unique for each attempt of an operator; finds a lost answer again
  std::string author;
  std::string comment;
  std::uint64_t edited_at = 0;  // by the operator's clock, seconds since the Unix epoch; for people

  friend bool operator==(const EditDescription&, const EditDescription&) = default;
};

// A service that the state consists of.
struct SubtreeReference {
  std::string service;
  SubtreeDigest digest;
  base::Revision changed_in;  // the revision that last changed it: the version to spread it by

  friend bool operator==(const SubtreeReference&, const SubtreeReference&) = default;
};

// One committed state of the tree. Revisions count the edits: each is its predecessor's plus one.
// A node puts a revision in force whole, once it has every subtree with the digest named here.
struct RootDocument {
  base::Revision revision;
  std::uint32_t schema_version = 1;  // a node that understands less can't apply this state
  EditDescription edit;
  std::string root_settings;               // canonical YAML of the fields set at the root
  std::vector<SubtreeReference> services;  // sorted by name

  // Returns the reference of a service, or null.
  const SubtreeReference* Find(std::string_view service) const;

  friend bool operator==(const RootDocument&, const RootDocument&) = default;
};

// Returns the JSON text, with a format version.
std::string FormatRootDocument(const RootDocument& root);

// Returns the document in the JSON text. Throws base::FindingsError.
RootDocument ParseRootDocument(std::string_view text);

// Returns the document that follows `previous` (null for the first) and describes `tree`.
RootDocument MakeRootDocument(const RootDocument* previous, const SettingsTree& tree,
                              const EditDescription& edit);

// Returns the documents of all services of the tree, sorted by name.
std::vector<SubtreeDocument> SplitTree(const SettingsTree& tree);

// Returns the tree that the root describes. Throws base::FindingsError when a subtree is missing,
// has another digest, or the result has findings. Subtrees that the root doesn't name are ignored.
SettingsTree AssembleTree(const RootDocument& root, const std::vector<SubtreeDocument>& subtrees);

}  // namespace gaugevalve::settings
