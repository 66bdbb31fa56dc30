// What one edit changed, kept beside the tree: for operators, for undo, and to find out what became
// of an edit whose answer was lost.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/settings/root_document.h"
#include "gaugevalve/settings/tree_change.h"

namespace gaugevalve::settings {

// The texts of one service before and after an edit; absent where it wasn't there.
struct SubtreeChange {
  std::string service;
  std::optional<std::string> before;
  std::optional<std::string> after;

  friend bool operator==(const SubtreeChange&, const SubtreeChange&) = default;
};

// The record of one edit.
struct HistoryEntry {
  base::Revision revision;  // the revision that the edit made
  EditDescription edit;
  std::string root_before;  // canonical YAML of the root's fields
  std::string root_after;
  std::vector<SubtreeChange> services;  // only those that changed, sorted by name

  friend bool operator==(const HistoryEntry&, const HistoryEntry&) = default;
};

// Returns the entry of the edit that led from `before` (null for the first edit) to `after`.
HistoryEntry MakeHistoryEntry(const RootDocument* before, const SettingsTree& tree_before,
                              const RootDocument& after, const SettingsTree& tree_after);

// Returns the JSON text, with a format version.
std::string FormatHistoryEntry(const HistoryEntry& entry);

// Returns the entry in the JSON text. Throws base::FindingsError.
HistoryEntry ParseHistoryEntry(std::string_view text);

// Returns what the edit changed. Throws base::FindingsError when a text can't be read.
std::vector<TreeChange> ChangesOf(const HistoryEntry& entry);

}  // namespace gaugevalve::settings
